package org.magnoliapick.share;

/**
 * A message between the {@link ShareNode}s of two entry instances. Every message stands loss,
 * repetition and reordering.
 */
public sealed interface ShareMessage {
    /**
     * Asks nothing and says nothing but that the sender lives.
     *
     * @param sequence counts the sender's messages within its incarnation
     */
    record Heartbeat(long sequence) implements ShareMessage {}
}
