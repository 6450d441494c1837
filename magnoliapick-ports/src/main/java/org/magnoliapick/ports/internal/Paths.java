package org.magnoliapick.ports.internal;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Writes names into paths. */
final class Paths {
    private Paths() {}

    /** Returns the name as one segment of a path. */
    static String encode(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
