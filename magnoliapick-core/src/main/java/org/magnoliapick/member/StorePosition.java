package org.magnoliapick.member;

/**
 * Up to where an instance knows the store's logs.
 *
 * @param epoch the epoch of the logs: offsets of different epochs cannot be compared, because the
 *     store gives out offsets again after it lost records; {@link #NONE} if it names none
 * @param listOffset the offset up to which the instance knows the list of upstreams; {@link #NONE}
 *     if it has not read the list in this epoch
 * @param configVersion the version of the configuration that is in force at the instance; {@link
 *     #NONE} if there is none
 */
public record StorePosition(long epoch, long listOffset, long configVersion) {
    /** The value of what is not known. */
    public static final long NONE = -1;

    /** The position of an instance that has read nothing. */
    public static final StorePosition UNKNOWN = new StorePosition(NONE, NONE, NONE);
}
