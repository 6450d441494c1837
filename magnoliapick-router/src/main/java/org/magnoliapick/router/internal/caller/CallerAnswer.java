package org.magnoliapick.router.internal.caller;

import jakarta.ws.rs.container.AsyncResponse;
import jakarta.ws.rs.core.Response;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.errors.Outcome;

/**
 * The one answer that a caller gets. The threads that run attempts never write to callers: writing
 * is left to an executor, so a slow caller holds up nobody else.
 */
public final class CallerAnswer {
    private final AsyncResponse mResponse;
    private final Executor mWriters;
    private final long mMaxUnsentBytes;
    private Optional<CallerStream> mStream = Optional.empty();
    private boolean mGiven;

    CallerAnswer(AsyncResponse response, Executor writers, long maxUnsentBytes) {
        mResponse = response;
        mWriters = writers;
        mMaxUnsentBytes = maxUnsentBytes;
    }

    /** Gives a whole answer. */
    public synchronized void whole(
            int status, Map<String, List<String>> passedOn, byte[] body, AnswerHeaders headers) {
        Response.ResponseBuilder builder = Response.status(status).entity(body);
        AnswerHeaders.addPassedOn(builder, passedOn);
        headers.addTo(builder, Optional.of(Outcome.WHOLE));
        give(builder.build());
    }

    /** Gives the head of a streamed answer; its parts follow. */
    public synchronized void startStream(
            int status, String contentType, AnswerHeaders headers, Runnable onCallerGone) {
        if (mGiven) {
            return;
        }
        mGiven = true;
        CallerStream stream = new CallerStream(mWriters, mMaxUnsentBytes, onCallerGone);
        Response.ResponseBuilder builder = Response.status(status).entity(stream.entity());
        builder.type(contentType);
        // The outcome of a stream is known at its end only: a whole one has its end mark.
        headers.addTo(builder, Optional.empty());
        mStream = Optional.of(stream);
        Response response = builder.build();
        stream.open(() -> mResponse.resume(response));
    }

    /** Adds a part to a streamed answer. */
    public synchronized void part(byte[] data) {
        mStream.ifPresent(stream -> stream.write(ServerSentEvent.data(data)));
    }

    /** Ends a streamed answer with its end mark. */
    public synchronized void endStream() {
        mStream.ifPresent(stream -> stream.end(ServerSentEvent.endMark()));
    }

    /** Gives an error, as the answer or as the last event of a stream that cannot go on. */
    public synchronized void problem(
            ErrorKind kind, Optional<Long> retryAfterMillis, AnswerHeaders headers) {
        Problem problem = Problem.of(kind, headers.request().value());
        if (mStream.isPresent()) {
            mStream.get().end(ServerSentEvent.error(problem));
            return;
        }
        Response.ResponseBuilder builder =
                Response.status(kind.httpStatus()).type(Problem.MEDIA_TYPE).entity(problem);
        headers.addTo(builder, Optional.of(kind.outcome()));
        builder.header(CallerHeaders.ERROR, kind.wireName());
        retryAfterMillis
                .or(kind::retryAfterMillis)
                .ifPresent(millis -> AnswerHeaders.addRetryAfter(builder, millis));
        give(builder.build());
    }

    private void give(Response response) {
        if (mGiven) {
            return;
        }
        mGiven = true;
        mWriters.execute(() -> mResponse.resume(response));
    }
}
