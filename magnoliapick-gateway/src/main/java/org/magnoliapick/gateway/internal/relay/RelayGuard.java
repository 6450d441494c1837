package org.magnoliapick.gateway.internal.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.magnoliapick.gateway.internal.http.ResponseListener;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.gateway.internal.log.FaultGuard;
import org.magnoliapick.request.AttemptEnd;

/**
 * Runs the steps of a request. A fault of the gateway itself in one of them is logged and ends the
 * request with an error response; it does not reach the caller of the step, which may be about to
 * process other requests.
 */
final class RelayGuard {
    private final Relay mRelay;
    private final EventLog mLog;
    private final String mPath;

    RelayGuard(Relay relay, EventLog log, String path) {
        mRelay = relay;
        mLog = log;
        mPath = path;
    }

    void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            logFault(e);
            fail();
        }
    }

    /** Ends the request; a second fault leaves it at least with an answer. */
    private void fail() {
        try {
            mRelay.endWithFault();
        } catch (RuntimeException | Error e) {
            logFault(e);
        }
    }

    private void logFault(Throwable fault) {
        // The request gets an answer even if the log fails.
        new FaultGuard(mLog)
                .run(
                        "request.fault",
                        () ->
                                mLog.line("request.fault")
                                        .with("request", mRelay.requestId())
                                        .with("path", mPath)
                                        .withFault(fault)
                                        .log());
    }

    /** Returns a listener that passes the response of an upstream on in guarded steps. */
    ResponseListener guarded(ResponseListener listener) {
        return new GuardedListener(listener);
    }

    private final class GuardedListener implements ResponseListener {
        private final ResponseListener mListener;

        private GuardedListener(ResponseListener listener) {
            mListener = listener;
        }

        @Override
        public boolean onHead(HttpResponse head) {
            boolean[] matches = {true};
            run(() -> matches[0] = mListener.onHead(head));
            return matches[0];
        }

        @Override
        public void onContent(ByteBuf chunk) {
            run(() -> mListener.onContent(chunk));
        }

        @Override
        public void onComplete() {
            run(mListener::onComplete);
        }

        @Override
        public void onFailure(AttemptEnd end) {
            run(() -> mListener.onFailure(end));
        }
    }
}
