package org.magnoliapick.gateway.internal.http;

/**
 * Counts what a server sends for one request besides its response, and in how many pieces that
 * comes. No sound server exceeds the bounds; one that does would take the event loop from others.
 */
final class ResponseBounds {
    /** The maximum number of informational responses and responses to other requests. */
    private static final int MAX_SKIPPED_RESPONSES = 8;

    /** The maximum number of body bytes of responses to other requests. */
    private static final int MAX_SKIPPED_BYTES = 65_536;

    /** The number of pieces from which on their average size is checked. */
    private static final int MIN_PIECES = 4_096;

    /** The minimum average size of many pieces, in bytes. */
    private static final int MIN_AVERAGE_BYTES = 4;

    private int mSkippedResponses;
    private long mSkippedBytes;
    private long mPieces;
    private long mBytes;

    /** Counts a response that is skipped; returns whether there are too many. */
    boolean skipResponse() {
        mSkippedResponses++;
        return mSkippedResponses > MAX_SKIPPED_RESPONSES;
    }

    /** Counts bytes of a response that is skipped; returns whether there are too many. */
    boolean skipBytes(int bytes) {
        mSkippedBytes += bytes;
        return mSkippedBytes > MAX_SKIPPED_BYTES;
    }

    /** Counts a piece of the body; returns whether there are too many small ones. */
    boolean addPiece(int bytes) {
        mPieces++;
        mBytes += bytes;
        return mPieces > MIN_PIECES && mBytes < mPieces * MIN_AVERAGE_BYTES;
    }
}
