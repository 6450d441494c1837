package org.magnoliapick.rpc;

import org.magnoliapick.share.ShareMessage;

/** The outcome of reading a share item. */
public sealed interface DecodedShare {
    /**
     * The item was read.
     *
     * @param message its message
     */
    record Whole(ShareMessage message) implements DecodedShare {}

    /**
     * The item makes no sense and is dropped.
     *
     * @param kind the kind number it bore
     * @param reason what was wrong
     */
    record Malformed(int kind, String reason) implements DecodedShare {}
}
