package org.magnoliapick.load;

/** A plan that cannot be used. */
public final class PlanException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Takes one line that names the file, the path in it and what is allowed. */
    public PlanException(String message) {
        super(message);
    }
}
