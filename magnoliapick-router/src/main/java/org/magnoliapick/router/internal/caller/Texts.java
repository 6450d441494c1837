package org.magnoliapick.router.internal.caller;

import java.util.ResourceBundle;
import org.magnoliapick.errors.ErrorKind;

/** The texts that callers read. */
final class Texts {
    private static final ResourceBundle BUNDLE =
            ResourceBundle.getBundle("org.magnoliapick.router.CallerTexts");

    private Texts() {}

    static String title(ErrorKind kind) {
        return BUNDLE.getString(kind.wireName() + ".title");
    }

    static String detail(ErrorKind kind) {
        return BUNDLE.getString(kind.wireName() + ".detail");
    }
}
