package org.magnoliapick.pgm.internal;

import java.text.MessageFormat;
import java.util.Arrays;
import java.util.Locale;
import java.util.ResourceBundle;

/** The texts for people. */
final class PgmText {
    private static final ResourceBundle BUNDLE =
            ResourceBundle.getBundle("org.magnoliapick.pgm.PgmText", Locale.ROOT);

    private PgmText() {}

    /** Returns a text with its arguments filled in. */
    static String get(String key, Object... arguments) {
        String pattern = BUNDLE.getString(key).replace("'", "''");
        Object[] shown = Arrays.stream(arguments).map(String::valueOf).toArray();
        return MessageFormat.format(pattern, shown);
    }
}
