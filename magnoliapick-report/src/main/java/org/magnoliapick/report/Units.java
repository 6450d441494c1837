package org.magnoliapick.report;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Locale;
import org.magnoliapick.record.BurnState;

/** Numbers and times as people read them. */
final class Units {
    private static final DateTimeFormatter TIME =
            DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm 'UTC'", Locale.ROOT)
                    .withZone(ZoneOffset.UTC);
    private static final long MILLIS_PER_MINUTE = 60_000;
    private static final long MINUTES_PER_HOUR = 60;
    private static final int DECIMALS = 2;

    private Units() {}

    static String time(long millis) {
        return TIME.format(Instant.ofEpochMilli(millis));
    }

    static String duration(long millis) {
        long minutes = millis / MILLIS_PER_MINUTE;
        return minutes % MINUTES_PER_HOUR == 0
                ? minutes / MINUTES_PER_HOUR + " h"
                : minutes + " min";
    }

    /** Returns a number with at most two decimals. */
    static String number(double number) {
        return BigDecimal.valueOf(number)
                .setScale(DECIMALS, RoundingMode.HALF_UP)
                .stripTrailingZeros()
                .toPlainString();
    }

    static String words(BurnState state) {
        return state.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    /** Makes a text fit for HTML and SVG. */
    static String escaped(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;")
                .replace("'", "&#39;");
    }
}
