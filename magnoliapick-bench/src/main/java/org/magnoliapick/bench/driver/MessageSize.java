package org.magnoliapick.bench.driver;

import java.util.OptionalDouble;
import org.magnoliapick.share.ShareMessage;

/** Tells how many bytes a control message takes on the wire. */
public interface MessageSize {
    /** Knows no sizes. */
    MessageSize NOT_MEASURED =
            new MessageSize() {
                @Override
                public boolean isMeasured() {
                    return false;
                }

                @Override
                public OptionalDouble bytes(ShareMessage message) {
                    return OptionalDouble.empty();
                }
            };

    /** Returns whether sizes are known. */
    boolean isMeasured();

    /** Returns the encoded size in bytes; empty where it is not known. */
    OptionalDouble bytes(ShareMessage message);
}
