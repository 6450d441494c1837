package org.magnoliapick.load;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.HttpHost;

/** Reads addresses written as IP number and port. */
final class Address {
    private static final Pattern FORM =
            Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):(\\d{1,5})");
    private static final int MAX_PORT = 65_535;

    private Address() {}

    static boolean isValid(String address) {
        Matcher matcher = FORM.matcher(address);
        return matcher.matches() && Integer.parseInt(matcher.group(2)) <= MAX_PORT;
    }

    static HttpHost parse(String address) {
        Matcher matcher = FORM.matcher(address);
        if (!matcher.matches()) {
            throw new IllegalArgumentException(address);
        }
        return new HttpHost("http", matcher.group(1), Integer.parseInt(matcher.group(2)));
    }
}
