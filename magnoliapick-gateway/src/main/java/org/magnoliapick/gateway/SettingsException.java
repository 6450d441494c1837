package org.magnoliapick.gateway;

/** Settings that make no sense; the message names the key and what is expected. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates the exception. */
    public SettingsException(String message) {
        super(message);
    }
}
