package org.magnoliapick.gateway;

/** Thrown for invalid settings; the message names the file and, if there is one, the key. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public SettingsException(String message) {
        super(message);
    }
}
