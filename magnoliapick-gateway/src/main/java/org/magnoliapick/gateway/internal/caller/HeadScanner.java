package org.magnoliapick.gateway.internal.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpConstants;

/**
 * Finds the end of a request head in bytes that arrive in parts. A head is decoded only when it is
 * complete, because each decoded line costs objects, however short it is.
 */
final class HeadScanner {
    private final int mMaxLineBytes;
    private final int mMaxHeaderBytes;
    private boolean mBegun;

    /** The positions below are relative to the reader index of the buffer. */
    private int mScannedBytes;

    private int mLineStart;
    private int mFirstLineBytes;
    private int mLines;

    /** Creates a scanner with the limits of the decoder, which don't count line breaks. */
    HeadScanner(int maxLineBytes, int maxHeaderBytes) {
        mMaxLineBytes = maxLineBytes;
        mMaxHeaderBytes = maxHeaderBytes;
    }

    /** Begins with another head at the reader index. */
    void reset() {
        mBegun = false;
        mScannedBytes = 0;
        mLineStart = 0;
        mFirstLineBytes = 0;
        mLines = 0;
    }

    /** Returns the number of lines found. */
    int lines() {
        return mLines;
    }

    /** Returns the number of bytes that were looked at. */
    int scannedBytes() {
        return mScannedBytes;
    }

    /**
     * Looks at the bytes that are new since the last call. Skips blanks before a request.
     *
     * @return whether the head is complete, or longer than the limits
     */
    boolean isDecodable(ByteBuf buffer) {
        if (!mBegun) {
            skipBlanks(buffer);
            mBegun = buffer.isReadable();
        }
        int start = buffer.readerIndex();
        int end = buffer.writerIndex();
        int lineEnd = buffer.indexOf(start + mScannedBytes, end, HttpConstants.LF);
        while (lineEnd >= 0) {
            mScannedBytes = lineEnd + 1 - start;
            if (isBlankLine(buffer, start + mLineStart, lineEnd)) {
                return true;
            }
            mLines++;
            if (mLines == 1) {
                mFirstLineBytes = mScannedBytes;
            }
            mLineStart = mScannedBytes;
            lineEnd = buffer.indexOf(start + mScannedBytes, end, HttpConstants.LF);
        }
        mScannedBytes = end - start;
        return isTooLong();
    }

    private static void skipBlanks(ByteBuf buffer) {
        int index = buffer.readerIndex();
        while (index < buffer.writerIndex()
                && buffer.getByte(index) >= 0
                && buffer.getByte(index) <= ' ') {
            index++;
        }
        buffer.readerIndex(index);
    }

    private static boolean isBlankLine(ByteBuf buffer, int start, int lineEnd) {
        return lineEnd == start
                || (lineEnd == start + 1 && buffer.getByte(start) == HttpConstants.CR);
    }

    private boolean isTooLong() {
        if (mLines == 0) {
            return mScannedBytes > mMaxLineBytes + 2;
        }
        return mScannedBytes - mFirstLineBytes - 2 * mLines > mMaxHeaderBytes;
    }
}
