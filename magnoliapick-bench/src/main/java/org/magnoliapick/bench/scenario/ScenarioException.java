package org.magnoliapick.bench.scenario;

/** A scenario cannot be used. The message is one line: file, path and what is allowed. */
public final class ScenarioException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Names the file, the path inside it and what is allowed there. */
    public ScenarioException(String file, String path, String allowed) {
        super(file + ": " + path + ": " + allowed);
    }
}
