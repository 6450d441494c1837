package org.magnoliapick.memory;

import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The account of the memory that an instance holds on behalf of its callers. It answers crowds of
 * callers that send requests of permitted size and stop short of their end, send many large ones at
 * once, or do not read their responses.
 *
 * <p>Requests that have arrived completely are kept. When memory is short, the largest of those
 * still arriving is rejected first; among requests of equal size, the newest.
 */
public final class CallerMemory {
    /** Heap that callers leave for everything else, in bytes. */
    private static final long OTHER_BYTES = 24L << 20;

    /** One of so many parts of the heap may hold large responses. */
    private static final int RESPONSE_PARTS = 4;

    /** The part of the heap that callers may hold on any heap, however small. */
    private static final int MIN_PARTS = 8;

    /** The size up to which a request may use the part that is kept free of large ones. */
    private static final long SMALL_BYTES = 65_536;

    /** One of so many parts is kept free of large requests, so that small ones are admitted. */
    private static final int SMALL_PARTS = 8;

    /** The maximum size of that part, in bytes; more than a thousand small requests. */
    private static final long MAX_SMALL_PART_BYTES = 4L << 20;

    /** One of so many parts is kept free of connections, so that they can send requests. */
    private static final int REQUEST_PARTS = 4;

    /** Descriptors that are used for files and for the instance's own sockets. */
    private static final int OTHER_DESCRIPTORS = 200;

    /** The cost of an open connection: channel, pipeline, codec and buffers, in bytes. */
    public static final long CONNECTION_BYTES = 8_192;

    /** The cost of a request besides its headers and its body, in bytes. */
    private static final long REQUEST_BYTES = 2_048;

    /**
     * The cost of a header line besides its text, in bytes: its entry, two strings and their
     * arrays, and a second entry in the request to the upstream.
     */
    private static final long LINE_BYTES = 200;

    /** What memory is held for. */
    public enum Kind {
        /** Open connections. */
        CONNECTION(false),
        /** Decoded heads. */
        HEAD(true),
        /** Buffers of bodies. */
        BODY(true),
        /** Bytes that are not decoded yet, including those of pipelined requests. */
        UNDECODED(true),
        /** Responses that callers have not read. */
        RESPONSE(false);

        private final boolean mRequest;

        Kind(boolean request) {
            mRequest = request;
        }

        /** Returns the name used in metrics. */
        public String metricName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /** The holder of an account. */
    public interface Owner {
        /**
         * Rejects the request that is still arriving and releases what is held for it. If none is
         * arriving, ends the response that the caller does not read.
         */
        void rejectForMemory();
    }

    private final long mMaxBytes;
    private final Map<Kind, Long> mUsedBytes = new EnumMap<>(Kind.class);
    private final Set<Account> mAccounts = new LinkedHashSet<>();
    private long mTotalBytes;
    private long mLastArrival;
    private long mRejected;

    /**
     * Creates an account of an instance.
     *
     * @param maxBytes the maximum of memory held for all callers together
     */
    public CallerMemory(long maxBytes) {
        mMaxBytes = maxBytes;
        for (Kind kind : Kind.values()) {
            mUsedBytes.put(kind, 0L);
        }
    }

    /** Returns an account whose bound leaves room for large responses and everything else. */
    public static CallerMemory forHeap(long maxHeapBytes) {
        long remaining = maxHeapBytes - maxHeapBytes / RESPONSE_PARTS - OTHER_BYTES;
        return new CallerMemory(Math.max(maxHeapBytes / MIN_PARTS, remaining));
    }

    /**
     * Returns the estimated memory of a decoded head, in bytes.
     *
     * @param textBytes the size of its text
     * @param lines the number of its lines
     */
    public static long headBytes(long textBytes, long lines) {
        return REQUEST_BYTES + lines * LINE_BYTES + 2 * textBytes;
    }

    /** Opens the account of a new connection. */
    public Account open(Owner owner) {
        Account account = new Account(owner);
        mAccounts.add(account);
        account.resize(Kind.CONNECTION, CONNECTION_BYTES);
        return account;
    }

    /**
     * Returns the maximum number of connections of callers: as many as leave memory for their
     * requests, and a descriptor for the connection to an upstream of each request in flight.
     *
     * @param maxDescriptors the number of descriptors that the process may have; 0 if unknown
     */
    public long maxConnections(long maxDescriptors) {
        long byMemory = (mMaxBytes - mMaxBytes / REQUEST_PARTS) / CONNECTION_BYTES;
        long byDescriptors =
                maxDescriptors == 0
                        ? Long.MAX_VALUE
                        : Math.max(1, (maxDescriptors - OTHER_DESCRIPTORS) / 2);
        return Math.min(byMemory, byDescriptors);
    }

    /** Returns the bound, in bytes. */
    public long maxBytes() {
        return mMaxBytes;
    }

    /** Returns the memory held for all callers, in bytes. */
    public long usedBytes() {
        return mTotalBytes;
    }

    /** Returns the memory held for a purpose, in bytes. */
    public long usedBytes(Kind kind) {
        return mUsedBytes.get(kind);
    }

    /** Returns how many requests and responses were ended because memory was short. */
    public long rejectedCount() {
        return mRejected;
    }

    private void makeRoom(Account requester) {
        while (mTotalBytes > requester.limitBytes()) {
            Optional<Account> victim = largestArriving().or(this::largestUnread);
            if (victim.isEmpty()) {
                return;
            }
            mRejected++;
            victim.get().reject();
        }
    }

    private Optional<Account> largestArriving() {
        Account largest = null;
        for (Account each : mAccounts) {
            if (each.arrivingBytes() > 0 && (largest == null || each.isRejectedBefore(largest))) {
                largest = each;
            }
        }
        return Optional.ofNullable(largest);
    }

    private Optional<Account> largestUnread() {
        Account largest = null;
        for (Account each : mAccounts) {
            long bytes = each.bytes(Kind.RESPONSE);
            if (bytes > 0 && (largest == null || bytes > largest.bytes(Kind.RESPONSE))) {
                largest = each;
            }
        }
        return Optional.ofNullable(largest);
    }

    /** The memory held for one connection. */
    public final class Account {
        private final Owner mOwner;
        private final long[] mBytes = new long[Kind.values().length];
        private long mRequestBytes;
        private long mArrival = ++mLastArrival;
        private boolean mComplete;
        private boolean mRejected;
        private boolean mClosed;

        private Account(Owner owner) {
            mOwner = owner;
        }

        /** Returns the memory held for a purpose, in bytes. */
        public long bytes(Kind kind) {
            return mBytes[kind.ordinal()];
        }

        /**
         * Asks for more memory; to be called before it is allocated.
         *
         * @return false if the request has to be, or already was, rejected instead
         */
        public boolean grow(Kind kind, long bytes) {
            return resize(kind, bytes(kind) + bytes);
        }

        /**
         * Sets how much memory is held for a purpose.
         *
         * @return false if the request has to be, or already was, rejected instead
         */
        public boolean resize(Kind kind, long bytes) {
            if (mClosed) {
                return false;
            }
            long addedBytes = bytes - bytes(kind);
            if (addedBytes != 0) {
                mBytes[kind.ordinal()] = bytes;
                mRequestBytes += kind.mRequest ? addedBytes : 0;
                mUsedBytes.merge(kind, addedBytes, Long::sum);
                mTotalBytes += addedBytes;
                if (addedBytes > 0 && mTotalBytes > limitBytes()) {
                    makeRoom(this);
                }
            }
            return !mRejected;
        }

        /** Records that the request has arrived completely, so that it is kept. */
        public void requestArrived() {
            mComplete = true;
        }

        /** Records that the request has ended, and that the next one may arrive. */
        public void requestEnded() {
            mComplete = false;
            mArrival = ++mLastArrival;
            resize(Kind.HEAD, 0);
            resize(Kind.BODY, 0);
        }

        /** Closes the account together with its connection. */
        public void close() {
            for (Kind kind : Kind.values()) {
                resize(kind, 0);
            }
            mClosed = true;
            mAccounts.remove(this);
        }

        private long limitBytes() {
            return mRequestBytes > SMALL_BYTES
                    ? mMaxBytes - Math.min(MAX_SMALL_PART_BYTES, mMaxBytes / SMALL_PARTS)
                    : mMaxBytes;
        }

        /** Returns the memory of what has not arrived completely, in bytes. */
        private long arrivingBytes() {
            return mComplete ? bytes(Kind.UNDECODED) : mRequestBytes;
        }

        private boolean isRejectedBefore(Account other) {
            long bytes = arrivingBytes();
            long otherBytes = other.arrivingBytes();
            return bytes > otherBytes || (bytes == otherBytes && mArrival > other.mArrival);
        }

        private void reject() {
            mRejected = true;
            boolean arriving = arrivingBytes() > 0;
            try {
                mOwner.rejectForMemory();
            } finally {
                // An owner that fails to release its memory must not be chosen again.
                resize(Kind.UNDECODED, 0);
                if (!mComplete) {
                    resize(Kind.HEAD, 0);
                    resize(Kind.BODY, 0);
                }
                if (!arriving) {
                    resize(Kind.RESPONSE, 0);
                }
            }
        }
    }
}
