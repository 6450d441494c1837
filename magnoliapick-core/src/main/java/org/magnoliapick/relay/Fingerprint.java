package org.magnoliapick.relay;

import java.util.HexFormat;

/**
 * A hash of what a request consists of: its method, path, caller, prompt and body, but not its
 * identifier. Repetitions of a request have the same one.
 *
 * @param bits the hash
 */
public record Fingerprint(long bits) {
    /** The fingerprint of a request whose content is not known. */
    public static final Fingerprint UNKNOWN = new Fingerprint(0);

    /** Returns the hash in hexadecimal, as in log lines. */
    @Override
    public String toString() {
        return HexFormat.of().toHexDigits(bits);
    }
}
