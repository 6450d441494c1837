package org.magnoliapick.pgm.internal;

import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads numbers of the command line. */
final class Numbers {
    private static final Pattern DURATION = Pattern.compile("(\\d{1,6})([smh])");
    private static final long MAX_MILLIS = 3_600_000;

    private Numbers() {}

    static long whole(String name, String text, long min, long max) {
        try {
            long number = Long.parseLong(text);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw PgmException.usage("badNumber", name, text, min, max);
        }
        throw PgmException.usage("badNumber", name, text, min, max);
    }

    /** Reads a time such as 90s, 10m or 1h. */
    static long durationMillis(String text) {
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            throw PgmException.usage("badDuration", text);
        }
        long millis = Long.parseLong(matcher.group(1)) * unitMillis(matcher.group(2));
        if (millis <= 0 || millis > MAX_MILLIS) {
            throw PgmException.usage("badDuration", text);
        }
        return millis;
    }

    private static long unitMillis(String unit) {
        return Map.of("s", 1_000L, "m", 60_000L, "h", 3_600_000L).get(unit);
    }
}
