package org.magnoliapick.standin;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Finds the mark by which a caller knows its own answer. */
final class Nonces {
    private static final Pattern NONCE = Pattern.compile("nonce=([A-Za-z0-9_-]{1,100})");

    private Nonces() {}

    static Optional<String> find(String text) {
        Matcher matcher = NONCE.matcher(text);
        return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
    }
}
