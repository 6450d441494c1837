package org.magnoliapick.pgm.internal;

import java.util.Map;
import java.util.Optional;

/** Turns the expected version into a precondition. */
final class Expected {
    private Expected() {}

    static Map<String, String> headers(Invocation invocation) {
        Optional<String> version = invocation.option("expect");
        if (version.isEmpty()) {
            return Map.of();
        }
        return version.get().equals("-1")
                ? Map.of("If-None-Match", "*")
                : Map.of("If-Match", '"' + version.get() + '"');
    }
}
