package org.magnoliapick.gateway.internal.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.buffer.UnpooledHeapByteBuf;

/**
 * The memory that large messages may take together while they are buffered. Small ones always fit,
 * so that a peer that sends much costs others nothing. All methods run on the event loop.
 */
public final class BufferBudget {
    /** The size up to which a buffer is not counted, in bytes. */
    private static final int SMALL_BYTES = 65_536;

    private static final int INITIAL_BYTES = 1_024;

    private final long mMaxBytes;
    private long mUsedBytes;

    /**
     * Creates a budget.
     *
     * @param maxBytes the maximum capacity of all large buffers together
     */
    public BufferBudget(long maxBytes) {
        mMaxBytes = maxBytes;
    }

    /** Returns a new buffer, which counts until it is released. */
    public Buffer newBuffer() {
        return new Buffer();
    }

    /** Returns the capacity of all large buffers, in bytes. */
    public long usedBytes() {
        return mUsedBytes;
    }

    /** A buffer that grows within the budget. */
    public final class Buffer extends UnpooledHeapByteBuf {
        private long mCountedBytes;

        private Buffer() {
            super(UnpooledByteBufAllocator.DEFAULT, INITIAL_BYTES, Integer.MAX_VALUE);
        }

        /**
         * Appends the readable bytes of a buffer; returns false if the budget does not allow it.
         */
        public boolean append(ByteBuf bytes) {
            int size = writerIndex() + bytes.readableBytes();
            if (size > capacity() && !grow(size)) {
                return false;
            }
            writeBytes(bytes, bytes.readerIndex(), bytes.readableBytes());
            return true;
        }

        private boolean grow(int minCapacity) {
            int capacity = alloc().calculateNewCapacity(minCapacity, maxCapacity());
            long countedBytes = capacity <= SMALL_BYTES ? 0 : capacity;
            if (countedBytes > 0 && mUsedBytes - mCountedBytes + countedBytes > mMaxBytes) {
                return false;
            }
            mUsedBytes += countedBytes - mCountedBytes;
            mCountedBytes = countedBytes;
            capacity(capacity);
            return true;
        }

        @Override
        protected void deallocate() {
            super.deallocate();
            mUsedBytes -= mCountedBytes;
            mCountedBytes = 0;
        }
    }
}
