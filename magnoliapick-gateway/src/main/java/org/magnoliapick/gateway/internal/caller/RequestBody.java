package org.magnoliapick.gateway.internal.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import org.magnoliapick.memory.CallerMemory;

/**
 * The body of a request that arrives in parts. It grows by segments, so that nothing is copied, and
 * only as bytes arrive, whatever length the caller stated.
 */
final class RequestBody {
    private static final int MIN_SEGMENT_BYTES = 1_024;
    private static final int MAX_FIRST_SEGMENT_BYTES = 16_384;
    private static final int MAX_SEGMENT_BYTES = 65_536;

    private final CallerMemory.Account mAccount;
    private final long mStatedBytes;
    private final List<ByteBuf> mSegments = new ArrayList<>(1);
    private long mBytes;

    /**
     * Creates an empty body.
     *
     * @param statedBytes the length that the caller stated; 0 if it stated none
     */
    RequestBody(CallerMemory.Account account, long statedBytes) {
        mAccount = account;
        mStatedBytes = statedBytes;
    }

    /** Returns the number of bytes that have arrived. */
    long bytes() {
        return mBytes;
    }

    /** Appends bytes; returns false if the request was rejected because memory is short. */
    boolean append(ByteBuf bytes) {
        while (bytes.isReadable()) {
            if (mSegments.isEmpty() || !last().isWritable()) {
                int capacity = nextCapacity(bytes.readableBytes());
                if (!mAccount.grow(CallerMemory.Kind.BODY, capacity)) {
                    return false;
                }
                mSegments.add(Unpooled.buffer(capacity, capacity));
            }
            int length = Math.min(bytes.readableBytes(), last().writableBytes());
            last().writeBytes(bytes, length);
            mBytes += length;
        }
        return true;
    }

    private ByteBuf last() {
        return mSegments.get(mSegments.size() - 1);
    }

    private int nextCapacity(int neededBytes) {
        long statedBytes = mStatedBytes - mBytes;
        long bytes;
        if (mSegments.isEmpty() && statedBytes > 0) {
            bytes = MAX_FIRST_SEGMENT_BYTES;
        } else {
            bytes = Math.max(MIN_SEGMENT_BYTES, Math.max(neededBytes, mBytes));
        }
        bytes = Math.min(MAX_SEGMENT_BYTES, bytes);
        return (int) (statedBytes > 0 ? Math.min(statedBytes, bytes) : bytes);
    }

    /** Returns the complete body, which passes to the caller of this method. */
    ByteBuf take() {
        ByteBuf[] segments = mSegments.toArray(ByteBuf[]::new);
        mSegments.clear();
        return segments.length == 1 ? segments[0] : Unpooled.wrappedBuffer(segments);
    }

    /** Releases the body. */
    void release() {
        mSegments.forEach(ByteBuf::release);
        mSegments.clear();
    }
}
