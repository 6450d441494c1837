package org.magnoliapick.rpc;

import java.nio.ByteBuffer;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.magnoliapick.rpc.gen.ShareAttained;
import org.magnoliapick.rpc.gen.ShareDemand;
import org.magnoliapick.rpc.gen.ShareGrants;
import org.magnoliapick.rpc.gen.ShareItem;
import org.magnoliapick.rpc.gen.ShareSign;
import org.magnoliapick.share.ShareMessage;

/** Turns share messages into items and back. */
public final class ShareCodec {
    private static final int HEARTBEAT = 1;
    private static final int LEAVING = 2;
    private static final int DEMAND = 3;
    private static final int GRANTS = 4;
    private static final int ATTAINED = 5;

    private static final int MAX_LIST_SIZE = 100_000;

    private static final CompactBytes BYTES = new CompactBytes(MAX_LIST_SIZE);

    private ShareCodec() {}

    /** Encodes a message. */
    public static ShareItem encode(ShareMessage message) {
        if (message instanceof ShareMessage.Heartbeat heartbeat) {
            return item(HEARTBEAT, new ShareSign(heartbeat.sequence()));
        }
        if (message instanceof ShareMessage.Leaving leaving) {
            return item(LEAVING, new ShareSign(leaving.sequence()));
        }
        if (message instanceof ShareMessage.Demand demand) {
            return item(DEMAND, ShareStructs.of(demand));
        }
        if (message instanceof ShareMessage.Grants grants) {
            return item(GRANTS, ShareStructs.of(grants));
        }
        return item(ATTAINED, ShareStructs.of((ShareMessage.AttainedService) message));
    }

    /** Decodes an item; whatever its bytes are, it returns. */
    public static DecodedShare decode(ShareItem item) {
        try {
            return new DecodedShare.Whole(read(item));
        } catch (TException | RuntimeException e) {
            return new DecodedShare.Malformed(item.getKind(), String.valueOf(e.getMessage()));
        }
    }

    private static ShareMessage read(ShareItem item) throws TException {
        switch (item.getKind()) {
            case HEARTBEAT:
                return new ShareMessage.Heartbeat(fill(new ShareSign(), item).getSequence());
            case LEAVING:
                return new ShareMessage.Leaving(fill(new ShareSign(), item).getSequence());
            case DEMAND:
                return ShareStructs.demand(fill(new ShareDemand(), item));
            case GRANTS:
                return ShareStructs.grants(fill(new ShareGrants(), item));
            case ATTAINED:
                return ShareStructs.attained(fill(new ShareAttained(), item));
            default:
                throw new TException("Unknown kind of share item");
        }
    }

    private static <T extends TBase<?, ?>> T fill(T struct, ShareItem item) throws TException {
        return BYTES.read(struct, item.getContent());
    }

    private static ShareItem item(int kind, TBase<?, ?> struct) {
        return new ShareItem(kind, ByteBuffer.wrap(BYTES.write(struct)));
    }
}
