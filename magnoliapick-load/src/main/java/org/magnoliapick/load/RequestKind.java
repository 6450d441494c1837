package org.magnoliapick.load;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;

/** What the callers of both users ask for. */
public enum RequestKind {
    /** A summary of a wish list, in one piece. */
    WISH_LIST_SUMMARY(new ModelShape("gift-writer", "standard", false, true, 48)),
    /** Gift suggestions within a budget, streamed. */
    GIFT_SUGGESTION(new ModelShape("gift-writer", "standard", true, true, 32)),
    /** Records a pairing; must run once. */
    PAIRING(new ServiceShape("draws", "POST", "/pairings")),
    /** Looks a pairing up. */
    LOOK_UP(new ServiceShape("draws", "GET", "/pairings/雪")),
    /** A bilingual menu draft, streamed, which may wait. */
    MENU_DRAFT(new ModelShape("lettering-writer", "bulk", true, true, 96)),
    /** A price line written anew. */
    PRICE_LINE(new ModelShape("lettering-writer", "standard", false, false, 16)),
    /** Confirms an order; must run once. */
    CONFIRMATION(new ServiceShape("orders", "POST", "/confirmations")),
    /** Asks for the state of an order. */
    STATUS_CHECK(new ServiceShape("orders", "GET", "/status/لوح"));

    private final RequestShape mShape;

    RequestKind(RequestShape shape) {
        mShape = shape;
    }

    /** Returns how a request of this kind is written. */
    public RequestShape shape() {
        return mShape;
    }

    /** Returns the name used in plans. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Finds the kind of a name used in plans. */
    public static Optional<RequestKind> ofWireName(String name) {
        return Arrays.stream(values()).filter(kind -> kind.wireName().equals(name)).findFirst();
    }

    static String wireNames() {
        return Arrays.stream(values()).map(RequestKind::wireName).collect(Collectors.joining(", "));
    }
}
