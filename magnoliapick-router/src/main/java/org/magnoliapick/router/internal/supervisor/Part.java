package org.magnoliapick.router.internal.supervisor;

/** A piece of work that a supervisor repeats on a thread of its own. */
public interface Part {
    /** Returns the name used in logs and thread names. */
    String name();

    /**
     * Does one round of work. May block for a bounded time.
     *
     * @throws Exception if the round failed; the supervisor starts the next one after a pause
     */
    void step() throws Exception;
}
