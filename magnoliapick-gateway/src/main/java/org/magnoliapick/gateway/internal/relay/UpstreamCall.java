package org.magnoliapick.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.OptionalLong;
import java.util.Set;
import org.magnoliapick.gateway.AnswerHead;
import org.magnoliapick.gateway.ForwardHead;
import org.magnoliapick.gateway.internal.http.AnswerListener;
import org.magnoliapick.gateway.internal.http.HopHeaders;
import org.magnoliapick.gateway.internal.http.HttpConnection;
import org.magnoliapick.pool.ListedUpstream;
import org.magnoliapick.relay.RelayRequest;
import org.magnoliapick.relay.RelayStep;
import org.magnoliapick.relay.StreamWatch;
import org.magnoliapick.request.AttemptEnd;

/** One attempt of a request at one upstream. */
final class UpstreamCall implements AnswerListener {
    /** The largest plain answer that is held until it is whole. */
    private static final int MAX_HELD_BYTES = 1 << 20;

    /** Statuses by which a caller is promised that its request did not run. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private final RelayContext mContext;
    private final RelayRequest mRequest;
    private final Relay mRelay;
    private final ListedUpstream mUpstream;
    private HttpConnection mConnection;
    private boolean mOver;
    private boolean mSent;
    private HttpResponse mHead;
    private AnswerHead mAnswerHead;
    private ByteBuf mHeld;
    private EventSplitter mEvents;
    private StreamWatch mWatch;

    UpstreamCall(RelayContext context, RelayRequest request, Relay relay, ListedUpstream upstream) {
        mContext = context;
        mRequest = request;
        mRelay = relay;
        mUpstream = upstream;
    }

    /** Returns whether a byte of the request may have left. */
    boolean mayHaveLeft() {
        return mSent;
    }

    void connected(HttpConnection connection) {
        if (mOver) {
            // Given up meanwhile; nothing was sent on it.
            release(connection);
            return;
        }
        mConnection = connection;
        mWatch = new StreamWatch(mRequest.route(), mContext.nowMillis());
        if (connection.send(forwardedHead(), mRelay.body(), this)) {
            mSent = true;
            mRelay.attempts().sent(mUpstream.id());
        } else {
            failed(AttemptEnd.NOT_SENT);
        }
    }

    void notConnected() {
        if (!mOver) {
            failed(AttemptEnd.NOT_SENT);
        }
    }

    private HttpRequest forwardedHead() {
        HttpRequest from = mRelay.head();
        HttpHeaders headers = HopHeaders.without(from.headers());
        OptionalLong resumeAfter =
                mRelay.attempts().isHeadRelayed()
                        ? OptionalLong.of(mRelay.attempts().lastEvent())
                        : mRequest.resumeAfter();
        long leftMillis = Math.max(1, mRequest.effectiveDeadlineMillis() - mContext.nowMillis());
        mContext.dialect()
                .forward(
                        headers,
                        new ForwardHead(
                                mUpstream.id(), leftMillis, mRequest.workspace(), resumeAfter));
        int length = mRelay.bodyLength();
        if (length > 0 || from.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
        }
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, from.method(), from.uri(), headers);
    }

    /** Ends the attempt; nothing more is heard of it. */
    void cancel() {
        mOver = true;
        if (mSent) {
            mRelay.attempts().abandonedAfterSend();
        }
        if (mConnection != null) {
            mConnection.cancel();
        }
        releaseHeld();
    }

    void reading(boolean reading) {
        if (mConnection != null) {
            mConnection.reading(reading);
        }
    }

    /** Looks whether a resumable stream has gone silent. */
    void tick(long nowMillis) {
        if (mSent && mWatch.isStalled(nowMillis)) {
            mConnection.cancel();
            failed(AttemptEnd.TIMEOUT);
        }
    }

    @Override
    public boolean head(HttpResponse head) {
        AnswerHead answer = mContext.dialect().readAnswer(head);
        boolean mine = answer.id().filter(mRequest.id()::equals).isPresent();
        if (!mine && !answer.notRun()) {
            return false;
        }
        mHead = head;
        mAnswerHead = answer;
        boolean success = isSuccess(head.status()) && answer.signed();
        if (mRequest.route().kind().streamed() && success) {
            mEvents = new EventSplitter();
            mWatch.progressed(mContext.nowMillis());
        } else {
            mRelay.answering();
            mHeld = Unpooled.buffer(1_024);
        }
        return true;
    }

    private static boolean isSuccess(HttpResponseStatus status) {
        return status.code() >= 200 && status.code() < 300;
    }

    @Override
    public void content(ByteBuf piece) {
        if (mEvents != null) {
            events(piece);
        } else if (mHeld.readableBytes() + piece.readableBytes() > MAX_HELD_BYTES) {
            mConnection.cancel();
            failed(AttemptEnd.MALFORMED);
        } else {
            mHeld.writeBytes(piece);
        }
    }

    private void events(ByteBuf bytes) {
        for (EventSplitter.Event event : mEvents.feed(bytes)) {
            mWatch.progressed(mContext.nowMillis());
            mRelay.answering();
            boolean repeated =
                    event.id().isPresent()
                            && event.id().getAsLong() <= mRelay.attempts().lastEvent();
            if (repeated) {
                event.bytes().release();
                continue;
            }
            relayHead();
            event.id().ifPresent(mRelay.attempts()::eventRelayed);
            mRelay.answer().sendChunk(event.bytes());
        }
        if (!mOver && mEvents.tooLong()) {
            mConnection.cancel();
            failed(AttemptEnd.MALFORMED);
        } else if (!mOver && !mRelay.answer().isWritable()) {
            mConnection.reading(false);
        }
    }

    private void relayHead() {
        if (!mRelay.attempts().isHeadRelayed()) {
            mRelay.attempts().headRelayed();
            mRelay.answer().sendHead(mHead.status(), HopHeaders.without(mHead.headers()));
        }
    }

    @Override
    public void complete() {
        mOver = true;
        release(mConnection);
        HttpResponseStatus status = mHead.status();
        if (mAnswerHead.notRun() || status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
            end(AttemptEnd.REFUSED);
        } else if (mEvents != null) {
            completeStream();
        } else if (isSuccess(status)) {
            completePlain();
        } else if (PROMISES.contains(status.code())) {
            // Says that the request did not run, without the upstream's own statement of it.
            end(AttemptEnd.MALFORMED);
        } else if (status.code() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
            end(AttemptEnd.FAILED);
        } else {
            passOn();
            mRelay.relayedFailure(status.code());
        }
    }

    private void completePlain() {
        if (mAnswerHead.signed()) {
            passOn();
            mRelay.whole();
        } else {
            end(AttemptEnd.MALFORMED);
        }
    }

    private void completeStream() {
        if (mEvents.inEvent()) {
            end(AttemptEnd.CUT);
            return;
        }
        relayHead();
        mRelay.answer().end();
        mRelay.whole();
    }

    /** Passes the upstream's answer on as it is. */
    private void passOn() {
        ByteBuf held = mHeld;
        mHeld = null;
        mRelay.answer().sendComplete(mHead.status(), HopHeaders.without(mHead.headers()), held);
    }

    @Override
    public void failed(AttemptEnd end) {
        mOver = true;
        end(end);
    }

    private void end(AttemptEnd end) {
        RelayStep step = mRelay.attemptEnded(end);
        if (step instanceof RelayStep.RelayFailure) {
            passOn();
            mRelay.relayedFailure(mHead.status().code());
        } else {
            releaseHeld();
            mRelay.follow(step);
        }
    }

    private void releaseHeld() {
        if (mHeld != null) {
            mHeld.release();
            mHeld = null;
        }
    }

    private void release(HttpConnection connection) {
        mRelay.released(mUpstream, connection);
    }
}
