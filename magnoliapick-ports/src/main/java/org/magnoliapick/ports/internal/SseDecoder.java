package org.magnoliapick.ports.internal;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.magnoliapick.ports.AttemptFailure;

/** Reads server-sent events; the data of an event stays as the bytes that were sent. */
final class SseDecoder {
    private static final int BUFFER_BYTES = 8 * 1024;
    private static final int END = -1;

    private final InputStream mInput;
    private final int mMaxEventBytes;
    private final byte[] mBuffer = new byte[BUFFER_BYTES];
    private final ByteArrayOutputStream mLine = new ByteArrayOutputStream();
    private int mPosition;
    private int mLimit;
    private boolean mSkipLineFeed;

    SseDecoder(InputStream input, int maxEventBytes) {
        mInput = input;
        mMaxEventBytes = maxEventBytes;
    }

    /**
     * Returns the next event, or empty at the end of the input; an event that the input ends in is
     * dropped.
     *
     * @throws ExchangeException with MALFORMED if an event is longer than allowed
     */
    Optional<Event> next() throws IOException {
        String type = "";
        ByteArrayOutputStream data = null;
        while (readLine()) {
            if (mLine.size() == 0) {
                if (data != null) {
                    return Optional.of(new Event(type, data.toByteArray()));
                }
                type = "";
                continue;
            }
            byte[] line = mLine.toByteArray();
            int colon = indexOfColon(line);
            String field = new String(line, 0, colon, StandardCharsets.UTF_8);
            if (field.equals("data")) {
                data = append(data, line, colon);
            } else if (field.equals("event")) {
                int start = valueStart(line, colon);
                type = new String(line, start, line.length - start, StandardCharsets.UTF_8);
            }
        }
        return Optional.empty();
    }

    private ByteArrayOutputStream append(ByteArrayOutputStream data, byte[] line, int colon)
            throws IOException {
        ByteArrayOutputStream target = data;
        if (target == null) {
            target = new ByteArrayOutputStream(line.length);
        } else {
            target.write('\n');
        }
        int start = valueStart(line, colon);
        checkLength(target.size() + line.length - start);
        target.write(line, start, line.length - start);
        return target;
    }

    private static int indexOfColon(byte[] line) {
        for (int i = 0; i < line.length; i++) {
            if (line[i] == ':') {
                return i;
            }
        }
        return line.length;
    }

    private static int valueStart(byte[] line, int colon) {
        int start = Math.min(colon + 1, line.length);
        boolean hasSpace = start < line.length && line[start] == ' ';
        return hasSpace ? start + 1 : start;
    }

    /** Reads a line without its end into the line buffer; false if the input ended before. */
    private boolean readLine() throws IOException {
        mLine.reset();
        int next = readByte();
        while (next != END) {
            if (next == '\n') {
                return true;
            }
            if (next == '\r') {
                mSkipLineFeed = true;
                return true;
            }
            mLine.write(next);
            checkLength(mLine.size());
            next = readByte();
        }
        return false;
    }

    private int readByte() throws IOException {
        int next = readRawByte();
        boolean isSecondOfPair = mSkipLineFeed && next == '\n';
        mSkipLineFeed = false;
        return isSecondOfPair ? readRawByte() : next;
    }

    private int readRawByte() throws IOException {
        if (mPosition == mLimit) {
            mPosition = 0;
            mLimit = Math.max(0, mInput.read(mBuffer));
            if (mLimit == 0) {
                return END;
            }
        }
        return mBuffer[mPosition++] & 0xff;
    }

    private void checkLength(int bytes) throws ExchangeException {
        if (bytes > mMaxEventBytes) {
            throw new ExchangeException(
                    AttemptFailure.MALFORMED,
                    "An event is longer than " + mMaxEventBytes + " bytes");
        }
    }

    /**
     * One event.
     *
     * @param type its type, empty if none was given
     * @param data its data
     */
    record Event(String type, byte[] data) {}
}
