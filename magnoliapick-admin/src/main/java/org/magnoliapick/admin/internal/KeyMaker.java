package org.magnoliapick.admin.internal;

import java.security.SecureRandom;
import java.util.Base64;
import java.util.HexFormat;

/** Makes bearer keys. */
final class KeyMaker {
    private static final int KEY_BYTES = 32;
    private static final int ID_BYTES = 4;

    private final SecureRandom mRandom = new SecureRandom();

    /** Returns a new key. */
    String key() {
        return "mp_" + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes(KEY_BYTES));
    }

    /** Returns a name for a key that was not given one. */
    String id() {
        return "k" + HexFormat.of().formatHex(bytes(ID_BYTES));
    }

    private byte[] bytes(int count) {
        byte[] bytes = new byte[count];
        mRandom.nextBytes(bytes);
        return bytes;
    }
}
