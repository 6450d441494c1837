package org.magnoliapick.bench.driver;

import java.util.OptionalDouble;
import org.magnoliapick.rpc.ShareCodec;
import org.magnoliapick.share.ShareMessage;

/**
 * The size of a message as encoded for the wire. The envelope of a bundle, its signature and the
 * headers of TCP/IP are not counted.
 */
public final class EncodedSize implements MessageSize {
    /** The fields of an item besides its content, in bytes. */
    private static final int ITEM_OVERHEAD_BYTES = 6;

    @Override
    public boolean isMeasured() {
        return true;
    }

    @Override
    public OptionalDouble bytes(ShareMessage message) {
        return OptionalDouble.of(bytesOf(message));
    }

    /** Returns the encoded size in bytes. */
    public static int bytesOf(ShareMessage message) {
        return ShareCodec.encode(message).getContent().length + ITEM_OVERHEAD_BYTES;
    }
}
