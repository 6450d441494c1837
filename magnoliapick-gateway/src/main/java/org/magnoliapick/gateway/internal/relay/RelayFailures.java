package org.magnoliapick.gateway.internal.relay;

import java.util.OptionalLong;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.pool.PoolAction;
import org.magnoliapick.quarantine.Quarantine;
import org.magnoliapick.relay.RelayAttempts;
import org.magnoliapick.relay.RelayRequest;
import org.magnoliapick.relay.RelayStep;

/**
 * Ends one request that fails: with an error response, or by closing the connection if the caller
 * has received a part of the answer. Failures are logged and counted.
 */
final class RelayFailures {
    private final RelayContext mContext;
    private final RelayLog mLog;
    private final CallerResponse mResponse;
    private final Runnable mClose;
    private RelayRequest mRequest;
    private RelayAttempts mAttempts;

    /**
     * Creates the failures of a request.
     *
     * @param close ends the request; runs before the caller is answered
     */
    RelayFailures(RelayContext context, RelayLog log, CallerResponse response, Runnable close) {
        mContext = context;
        mLog = log;
        mResponse = response;
        mClose = close;
    }

    /** Sets the request; before that it can only be rejected. */
    void setRequest(RelayRequest request, RelayAttempts attempts) {
        mRequest = request;
        mAttempts = attempts;
    }

    /** Rejects a request that was not admitted. */
    void reject(String path, ErrorKind kind, OptionalLong retryAfterMillis) {
        mLog.rejected(path, kind);
        finish(kind);
        mResponse.sendError(kind, retryAfterMillis);
    }

    /** Refuses the request because a stop leaves it too little time. */
    void refuseForStop() {
        ErrorKind kind = mAttempts.reportableKind(ErrorKind.NOT_READY);
        mLog.line("request.refused")
                .with("cause", "stopping")
                .with("error", kind.wireName())
                .with("attempts", mAttempts.sends())
                .log();
        endWithRetryAfter(kind, Relays.NOT_READY_RETRY_AFTER_MILLIS);
    }

    /** Refuses the request because of a quarantine. */
    void refuse(Quarantine quarantine, long nowMillis) {
        ErrorKind kind = mAttempts.reportableKind(ErrorKind.QUARANTINED);
        long retryAfterMillis = Math.max(1, quarantine.endMillis() - nowMillis);
        mLog.quarantined(quarantine, kind, mAttempts.sends(), retryAfterMillis);
        endWithRetryAfter(kind, retryAfterMillis);
    }

    private void endWithRetryAfter(ErrorKind kind, long retryAfterMillis) {
        end(
                kind,
                kind.retryAfterMillis().isPresent()
                        ? OptionalLong.of(retryAfterMillis)
                        : OptionalLong.empty());
    }

    /** Fails the request because the pool refused it. */
    void refuse(PoolAction.Refuse refuse, int waitingCount) {
        ErrorKind kind = mAttempts.reportableKind(refuse.cause().errorKind());
        mLog.refused(refuse, kind, waitingCount);
        end(kind, OptionalLong.of(refuse.retryAfterMillis()));
    }

    /**
     * Ends the request with an error response, or by closing the connection if the head was sent.
     */
    void end(ErrorKind kind, OptionalLong retryAfterMillis) {
        finish(kind);
        if (mAttempts.isHeadRelayed()) {
            mResponse.abort();
        } else {
            mResponse.sendError(kind, retryAfterMillis);
        }
    }

    /** Executes a step that follows the last attempt. */
    void fail(RelayStep step) {
        if (step instanceof RelayStep.Fail fail) {
            finishFailed(fail.kind());
            mResponse.sendError(fail.kind(), retryAfterMillis(fail.kind()));
        } else if (step instanceof RelayStep.Abort abort) {
            finishFailed(abort.kind());
            mResponse.abort();
        } else {
            throw new IllegalStateException("cannot execute unknown relay step " + step);
        }
    }

    private OptionalLong retryAfterMillis(ErrorKind kind) {
        return kind.retryAfterMillis().isPresent()
                ? OptionalLong.of(mRequest.route().objectiveMillis())
                : OptionalLong.empty();
    }

    private void finishFailed(ErrorKind kind) {
        mLog.line("request.failed")
                .with("error", kind.wireName())
                .with("tookMillis", mLog.elapsedMillis())
                .log();
        finish(kind);
    }

    /** Counts the failure and closes the request; the caller of this method responds or aborts. */
    void finish(ErrorKind kind) {
        mContext.counters().countFailed(kind);
        mClose.run();
    }
}
