package org.magnoliapick.quarantine;

import org.magnoliapick.relay.PromptPart;

/**
 * A prompt part of requests for one service. Another service may run another model, which the part
 * does not crash.
 *
 * @param service the service
 * @param part the identifier of the part
 */
public record PartKey(String service, String part) {
    /** The maximum length of an identifier, which callers choose; longer ones are shortened. */
    private static final int MAX_PART_CHARS = 48;

    static PartKey of(String service, PromptPart part) {
        String id = part.id();
        return new PartKey(
                service,
                id.length() <= MAX_PART_CHARS
                        ? id
                        : id.substring(0, MAX_PART_CHARS)
                                + "~"
                                + Integer.toHexString(id.hashCode()));
    }
}
