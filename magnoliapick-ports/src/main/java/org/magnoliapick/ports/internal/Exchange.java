package org.magnoliapick.ports.internal;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpStatus;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.ports.AttemptFailure;

/** The answer of one exchange, from its head on. */
final class Exchange {
    private static final int READ_BYTES = 8 * 1024;

    private final ClassicHttpResponse mResponse;
    private final DeadlineTimer.Alarm mAlarm;
    private final int mMaxAnswerBytes;

    Exchange(ClassicHttpResponse response, DeadlineTimer.Alarm alarm, int maxAnswerBytes) {
        mResponse = response;
        mAlarm = alarm;
        mMaxAnswerBytes = maxAnswerBytes;
    }

    int status() {
        return mResponse.getCode();
    }

    Header[] headers() {
        return mResponse.getHeaders();
    }

    Optional<String> header(String name) {
        Header header = mResponse.getFirstHeader(name);
        return Optional.ofNullable(header).map(Header::getValue);
    }

    String contentType() {
        return header("Content-Type").orElse("");
    }

    /** Ends the exchange after at most the given time, so that a peer cannot hold the caller. */
    void endWithin(long millis) {
        mAlarm.moveTo(millis);
    }

    /** Returns the body as it arrives; its end is known by its length or its last chunk. */
    InputStream body() throws IOException {
        HttpEntity entity = mResponse.getEntity();
        if (entity == null) {
            return InputStream.nullInputStream();
        }
        // A body that ends with the connection looks the same whether it is whole or cut.
        if (entity.getContentLength() < 0 && !entity.isChunked()) {
            throw new ExchangeException(AttemptFailure.CUT, "The answer's end is not marked");
        }
        return entity.getContent();
    }

    /** Returns the whole body, bounded. */
    byte[] wholeBody() throws IOException {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        InputStream body = body();
        byte[] buffer = new byte[READ_BYTES];
        int count = body.read(buffer);
        while (count >= 0) {
            if (whole.size() + count > mMaxAnswerBytes) {
                throw new ExchangeException(
                        AttemptFailure.MALFORMED,
                        "The answer is longer than " + mMaxAnswerBytes + " bytes");
            }
            whole.write(buffer, 0, count);
            count = body.read(buffer);
        }
        return whole.toByteArray();
    }

    /**
     * Checks that the answer belongs to the attempt and that the upstream started it.
     *
     * @throws ExchangeException with CROSSED or REFUSED
     */
    void requireStarted(AttemptId attempt) throws ExchangeException {
        String echoed = header(WireNames.ATTEMPT).orElse("");
        if (!echoed.equals(attempt.value())) {
            throw new ExchangeException(
                    AttemptFailure.CROSSED, "The answer names attempt '" + echoed + "'");
        }
        boolean notStarted = header(WireNames.NOT_STARTED).filter("true"::equals).isPresent();
        if (notStarted && status() == HttpStatus.SC_SERVICE_UNAVAILABLE) {
            throw new ExchangeException(AttemptFailure.REFUSED, "The upstream did not start it");
        }
    }

    /** Checks for status 200 and returns the whole body. */
    byte[] successfulBody() throws IOException {
        if (status() != HttpStatus.SC_OK) {
            throw new ExchangeException(AttemptFailure.FAILED, "Status " + status());
        }
        return wholeBody();
    }
}
