package org.magnoliapick.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.OptionalLong;
import java.util.Set;
import org.magnoliapick.gateway.ForwardedHead;
import org.magnoliapick.gateway.ResponseHead;
import org.magnoliapick.gateway.internal.http.BufferBudget;
import org.magnoliapick.gateway.internal.http.HopByHopHeaders;
import org.magnoliapick.gateway.internal.http.HttpConnection;
import org.magnoliapick.gateway.internal.http.ResponseListener;
import org.magnoliapick.limit.RateLimit;
import org.magnoliapick.pool.ListedUpstream;
import org.magnoliapick.relay.RelayRequest;
import org.magnoliapick.relay.RelayStep;
import org.magnoliapick.relay.StreamWatch;
import org.magnoliapick.request.AttemptEnd;

/** One attempt of a request at one upstream. */
final class UpstreamCall implements ResponseListener {
    /** Maximum size of a response that is buffered until it is complete, in bytes. */
    private static final int MAX_BUFFERED_BYTES = 1 << 20;

    /** Statuses that tell the caller that its request did not run. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private final RelayContext mContext;
    private final RelayRequest mRequest;
    private final Relay mRelay;
    private final ListedUpstream mUpstream;
    private HttpConnection mConnection;
    private boolean mEnded;
    private boolean mSent;
    private long mSentMillis;
    private HttpResponse mResponse;
    private ResponseHead mParsedHead;
    private BufferBudget.Buffer mBuffered;
    private EventSplitter mSplitter;
    private boolean mEventReceived;

    /** Whether the caller already has a part of the stream that this attempt goes on with. */
    private boolean mResumed;

    /** The number of the last event received, relayed or not; 0 if none. */
    private long mLastReceived;

    private StreamWatch mStallWatch;

    UpstreamCall(RelayContext context, RelayRequest request, Relay relay, ListedUpstream upstream) {
        mContext = context;
        mRequest = request;
        mRelay = relay;
        mUpstream = upstream;
    }

    /** Returns whether any byte of the request may have been sent. */
    boolean mayHaveSent() {
        return mSent;
    }

    /**
     * Sends the request. While the event loop is behind, this waits until the loop has read the
     * other ready connections, because the caller's disconnect may be among what it has not read.
     */
    void onConnected(HttpConnection connection) {
        if (mContext.admission().isBehind()) {
            mContext.loop().execute(() -> mRelay.guard().run(() -> send(connection)));
        } else {
            send(connection);
        }
    }

    private void send(HttpConnection connection) {
        if (mEnded) {
            // Cancelled before the connection opened; nothing was sent on it.
            mRelay.connections().release(mUpstream, connection, mContext.nowMillis());
            return;
        }
        if (!mRelay.response().isCallerConnected()) {
            mRelay.connections().release(mUpstream, connection, mContext.nowMillis());
            mRelay.callerDisconnected();
            return;
        }
        if (mRequest.isExpired(mContext.nowMillis())) {
            mRelay.connections().release(mUpstream, connection, mContext.nowMillis());
            mRelay.endUnanswered("deadline");
            return;
        }
        if (!mRelay.mayBeSent(mUpstream)) {
            mEnded = true;
            mRelay.connections().release(mUpstream, connection, mContext.nowMillis());
            mRelay.placeAgain();
            return;
        }
        mConnection = connection;
        mResumed = mRelay.attempts().isHeadRelayed();
        mStallWatch = new StreamWatch(mRequest.route(), mContext.nowMillis());
        HttpRequest head = forwardedHead();
        // Set before, because a fault may follow the first bytes that are sent.
        mSent = true;
        if (connection.send(head, mRelay.requestBody(), mRelay.guard().guarded(this))) {
            mRelay.connections().sent(connection);
            mSentMillis = mContext.nowMillis();
            mRelay.attempts().sent(mUpstream.id());
        } else {
            mSent = false;
            onFailure(AttemptEnd.NOT_SENT);
        }
    }

    void onConnectFailed() {
        if (!mEnded) {
            onFailure(AttemptEnd.NOT_SENT);
        }
    }

    /**
     * Builds the head that is sent to the upstream. Once the caller has received part of the
     * response, the upstream is asked to resume after the last relayed event.
     */
    private HttpRequest forwardedHead() {
        HttpRequest original = mRelay.requestHead();
        HttpHeaders headers = HopByHopHeaders.copyWithout(original.headers());
        OptionalLong resumeAfter =
                mResumed ? OptionalLong.of(mRelay.attempts().lastEvent()) : mRequest.resumeAfter();
        long remainingMillis =
                Math.max(1, mRequest.effectiveDeadlineMillis() - mContext.nowMillis());
        mContext.dialect()
                .rewriteHeaders(
                        headers,
                        new ForwardedHead(
                                mUpstream.id(),
                                remainingMillis,
                                mRequest.workspace(),
                                resumeAfter));
        int length = mRelay.requestBodyLength();
        if (length > 0 || original.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
        }
        return new DefaultHttpRequest(
                HttpVersion.HTTP_1_1, original.method(), original.uri(), headers);
    }

    /** Cancels the attempt; no further events are reported to the relay. */
    void cancel() {
        mEnded = true;
        if (mSent) {
            mRelay.attempts().abandonedAfterSend();
        }
        if (mConnection != null) {
            mConnection.cancel();
        }
        releaseBuffers();
    }

    /** Pauses or resumes reading from the upstream. */
    void setAutoRead(boolean autoRead) {
        if (mConnection != null) {
            mConnection.setReading(autoRead);
        }
    }

    /** Returns whether the attempt is in flight and its resumable stream has stalled. */
    boolean isStalled(long nowMillis) {
        return !mEnded && mSent && mStallWatch.isStalled(nowMillis);
    }

    /** Ends the attempt without a report to the relay, which goes on at another upstream. */
    void replace() {
        mEnded = true;
        mConnection.cancel();
        releaseBuffers();
    }

    @Override
    public boolean onHead(HttpResponse head) {
        ResponseHead parsedHead = mContext.dialect().readResponse(head);
        boolean matchesRequest = parsedHead.id().filter(mRequest.id()::equals).isPresent();
        if (!matchesRequest) {
            mRelay.logCrossed(head.status().code(), parsedHead);
            return false;
        }
        recordRateLimit(head, parsedHead);
        mRelay.statements()
                .record(mUpstream, head.status(), parsedHead, mRequest.id(), mSentMillis);
        mResponse = head;
        mParsedHead = parsedHead;
        boolean success = isSuccess(head.status()) && parsedHead.signed() && !parsedHead.notRun();
        boolean continues = !mResumed || mRelay.stream().isContinuedBy(head);
        if (mRequest.route().kind().streamed() && success && continues) {
            mSplitter = new EventSplitter(mContext.responseBuffers());
            mStallWatch.progressed(mContext.nowMillis());
        } else {
            mRelay.responseProgressed();
            recordResponseTime(success);
            mBuffered = mContext.responseBuffers().newBuffer();
        }
        return true;
    }

    /** Records how long the upstream took, if this is its first response that is no failure. */
    private void recordResponseTime(boolean first) {
        if (first) {
            mContext.admission()
                    .recordResponse(mRequest.route().name(), mContext.nowMillis() - mSentMillis);
        }
    }

    /**
     * Records the rate limit that a response names. One without a limit says that there is none
     * only if the upstream itself ran the request; another server at its address misdirects it.
     */
    private void recordRateLimit(HttpResponse head, ResponseHead parsedHead) {
        if (head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)
                || (parsedHead.rateLimit().isEmpty() && !parsedHead.signed())) {
            return;
        }
        mContext.rateLimits()
                .record(
                        new RateLimit(
                                mUpstream.id(),
                                mUpstream.startedMillis(),
                                parsedHead.rateLimit(),
                                mContext.nowMillis()),
                        mRequest.id(),
                        mSentMillis);
    }

    private static boolean isSuccess(HttpResponseStatus status) {
        return status.code() >= 200 && status.code() < 300;
    }

    @Override
    public void onContent(ByteBuf chunk) {
        if (mSplitter != null) {
            relayEvents(chunk);
        } else if (mBuffered.readableBytes() + chunk.readableBytes() > MAX_BUFFERED_BYTES
                || !mBuffered.append(chunk)) {
            mConnection.cancel();
            onFailure(AttemptEnd.MALFORMED);
        }
    }

    private void relayEvents(ByteBuf bytes) {
        for (EventSplitter.Event event : mSplitter.feed(bytes)) {
            boolean alreadyRelayed =
                    event.id().isPresent()
                            && event.id().getAsLong() <= mRelay.attempts().lastEvent();
            if (mEnded) {
                event.bytes().release();
            } else if (mResumed && !alreadyRelayed && !mRelay.attempts().mayFollow(event.id())) {
                event.bytes().release();
                mConnection.cancel();
                onFailure(AttemptEnd.MALFORMED);
            } else {
                receiveEvent(event, alreadyRelayed);
            }
        }
        if (!mEnded && mSplitter.isEventTooLong()) {
            mConnection.cancel();
            onFailure(AttemptEnd.EXCESSIVE);
        } else if (!mEnded && !mRelay.response().isWritable()) {
            mConnection.setReading(false);
        }
    }

    private void receiveEvent(EventSplitter.Event event, boolean alreadyRelayed) {
        mStallWatch.progressed(mContext.nowMillis());
        recordResponseTime(!mEventReceived);
        mEventReceived = true;
        event.id().ifPresent(id -> mLastReceived = id);
        mRelay.eventReceived();
        if (alreadyRelayed) {
            event.bytes().release();
            return;
        }
        relayHead();
        event.id()
                .ifPresentOrElse(
                        mRelay.attempts()::eventRelayed, mRelay.attempts()::unnumberedEventRelayed);
        mRelay.response().sendChunk(event.bytes());
    }

    private void relayHead() {
        if (!mRelay.attempts().isHeadRelayed()) {
            mRelay.attempts().headRelayed();
            mRelay.stream().begin(mResponse);
            mRelay.response()
                    .sendHead(mResponse.status(), HopByHopHeaders.copyWithout(mResponse.headers()));
        }
    }

    @Override
    public void onComplete() {
        mEnded = true;
        HttpConnection connection = mConnection;
        // Another request may use it from now on.
        mConnection = null;
        mRelay.connections().release(mUpstream, connection, mContext.nowMillis());
        HttpResponseStatus status = mResponse.status();
        if (mParsedHead.notRun() && isSuccess(status)) {
            endAttempt(AttemptEnd.MALFORMED);
        } else if (mParsedHead.notRun() || status.equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
            endAttempt(AttemptEnd.REFUSED);
        } else if (mSplitter != null) {
            completeStream();
        } else if (mResumed) {
            endAttempt(isSuccess(status) ? AttemptEnd.MALFORMED : AttemptEnd.FAILED);
        } else if (isSuccess(status)) {
            completeBuffered();
        } else if (NOT_RUN_STATUSES.contains(status.code())) {
            // The status claims that the request did not run, but the upstream did not confirm it.
            endAttempt(AttemptEnd.MALFORMED);
        } else if (status.code() >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()) {
            endAttempt(AttemptEnd.FAILED);
        } else {
            relayBuffered();
            mRelay.upstreamFailureRelayed(status.code());
        }
    }

    /**
     * Returns whether the connection ended after the head of a response that states no length: the
     * upstream may have crashed before it wrote anything of the body.
     */
    private boolean mayLackItsBody(boolean bodyReceived) {
        return !bodyReceived
                && !mResponse.status().equals(HttpResponseStatus.NO_CONTENT)
                && HttpConnection.endsWithConnection(mResponse);
    }

    private void completeBuffered() {
        if (mayLackItsBody(mBuffered.isReadable())) {
            endAttempt(AttemptEnd.CUT);
        } else if (mParsedHead.signed()) {
            relayBuffered();
            mRelay.responseCompleted();
        } else {
            endAttempt(AttemptEnd.MALFORMED);
        }
    }

    private void completeStream() {
        if (mSplitter.hasPartialEvent() || mayLackItsBody(mEventReceived)) {
            endAttempt(AttemptEnd.CUT);
            return;
        }
        if (mResumed && (!mEventReceived || mLastReceived != mRelay.attempts().lastEvent())) {
            // Only a stream that reached the caller's last event shows what follows that.
            endAttempt(AttemptEnd.MALFORMED);
            return;
        }
        releaseBuffers();
        relayHead();
        mRelay.response().end();
        mRelay.responseCompleted();
    }

    /** Relays the buffered response of the upstream unchanged, except for hop-by-hop headers. */
    private void relayBuffered() {
        ByteBuf body = mBuffered;
        mBuffered = null;
        mRelay.response()
                .sendComplete(
                        mResponse.status(), HopByHopHeaders.copyWithout(mResponse.headers()), body);
    }

    @Override
    public void onFailure(AttemptEnd end) {
        mEnded = true;
        endAttempt(end);
    }

    private void endAttempt(AttemptEnd end) {
        RelayStep step = mRelay.endAttempt(end);
        if (step instanceof RelayStep.RelayFailure) {
            relayBuffered();
            mRelay.upstreamFailureRelayed(mResponse.status().code());
        } else {
            releaseBuffers();
            mRelay.execute(step);
        }
    }

    private void releaseBuffers() {
        if (mSplitter != null) {
            mSplitter.release();
            mSplitter = null;
        }
        if (mBuffered != null) {
            mBuffered.release();
            mBuffered = null;
        }
    }
}
