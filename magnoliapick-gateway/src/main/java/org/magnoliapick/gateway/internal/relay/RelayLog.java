package org.magnoliapick.gateway.internal.relay;

import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.gateway.ResponseHead;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.pool.PoolAction;
import org.magnoliapick.pool.PoolCause;
import org.magnoliapick.pool.Ticket;
import org.magnoliapick.quarantine.Quarantine;
import org.magnoliapick.relay.RelayRequest;
import org.magnoliapick.request.AttemptEnd;

/** Writes the log lines about one request. */
final class RelayLog {
    private final RelayContext mContext;
    private RelayRequest mRequest;
    private Placement mPlacement;

    RelayLog(RelayContext context) {
        mContext = context;
    }

    /** Sets the request that all lines but {@link #rejected} are about. */
    void setRequest(RelayRequest request) {
        mRequest = request;
    }

    /** Returns the time since the request arrived, in milliseconds. */
    long elapsedMillis() {
        return mContext.nowMillis() - mRequest.arrivedMillis();
    }

    /** Returns a new line about the request. */
    EventLog.Line line(String kind) {
        EventLog.Line line = mContext.log().line(kind).with("request", mRequest.id());
        mRequest.workspace().ifPresent(each -> line.with("workspace", each));
        return line.with("route", mRequest.route().name())
                .with("configVersion", mRequest.configVersion());
    }

    /** Returns a new line with the upstream and the cause of the last placement. */
    EventLog.Line placedLine(String kind) {
        EventLog.Line line = line(kind);
        return mPlacement == null ? line.with("placed", false) : mPlacement.addTo(line);
    }

    /** Logs that a request was not admitted. */
    void rejected(String path, ErrorKind kind) {
        mContext.log()
                .line("request.rejected")
                .with("path", path)
                .with("error", kind.wireName())
                .with("configVersion", mContext.config().map(each -> each.version()).orElse(-1L))
                .log();
    }

    /**
     * Logs the placement at an upstream. This is not left to the end of the attempt, because an
     * instance that is killed logs no end.
     *
     * @param sends how often the request was sent before
     */
    void placed(PoolAction.Start start, long waitedMillis, int sends) {
        Ticket ticket = start.ticket();
        mPlacement =
                new Placement(
                        start.cause(),
                        waitedMillis,
                        ticket.upstream().id(),
                        ticket.newTokens(),
                        ticket.aheadTokens());
        placedLine(sends == 0 ? "request.placed" : "request.placed-again")
                .with("attempt", sends + 1)
                .log();
    }

    /** Logs that the request was refused because of a quarantine. */
    void quarantined(Quarantine quarantine, ErrorKind kind, int sends, long retryAfterMillis) {
        line("request.refused")
                .with("cause", PoolCause.QUARANTINED.logName())
                .with("error", kind.wireName())
                .with(quarantine.key().kind().fieldName(), quarantine.key().id())
                .with("crashes", quarantine.crashes())
                .with("attempts", sends)
                .with("retryAfterMillis", retryAfterMillis)
                .log();
    }

    /** Logs that the pool refused the request. */
    void refused(PoolAction.Refuse refuse, ErrorKind kind, int waitingCount) {
        EventLog.Line line = line("request.refused");
        if (refuse.cause() == PoolCause.QUARANTINED) {
            addContent(line);
        }
        line.with("cause", refuse.cause().logName())
                .with("error", kind.wireName())
                .with("promptTokens", refuse.job().prompt().promptTokens())
                .with("waitedMillis", mContext.nowMillis() - refuse.job().submittedMillis())
                .with("retryAfterMillis", refuse.retryAfterMillis())
                .with("waiting", waitingCount)
                .log();
    }

    /** Logs a response that names another request than this one, or none. */
    void crossed(int status, ResponseHead head) {
        placedLine("response.crossed")
                .with("status", status)
                .with("names", head.id().orElse(""))
                .with("notRun", head.notRun())
                .log();
    }

    /** Logs the end of an attempt that got no complete response. */
    void attemptEnded(AttemptEnd end, boolean eventReceived) {
        addContent(
                        placedLine("attempt.ended")
                                .with("end", end)
                                .with("eventReceived", eventReceived))
                .with("tookMillis", elapsedMillis())
                .log();
    }

    /**
     * Logs that the caller closed its connection.
     *
     * @param sent whether an attempt was in flight
     */
    void callerGone(boolean sent) {
        placedLine("request.caller-gone")
                .with("sent", sent)
                .with("tookMillis", elapsedMillis())
                .log();
    }

    /**
     * Logs that the request ended without an answer of an upstream.
     *
     * @param endedBy what ended it
     * @param answering whether the caller had received a part of the answer
     */
    void timedOut(String endedBy, ErrorKind kind, boolean answering) {
        placedLine("request.timed-out")
                .with("endedBy", endedBy)
                .with("error", kind.wireName())
                .with("answering", answering)
                .with("tookMillis", elapsedMillis())
                .log();
    }

    /**
     * Logs that the complete response was relayed.
     *
     * @param firstMillis when the response began, from the arrival of the request
     */
    void whole(long firstMillis) {
        placedLine("request.whole")
                .with("firstMillis", firstMillis)
                .with("tookMillis", elapsedMillis())
                .log();
    }

    /** Logs that the request is not sent again, because it may have crashed its upstream. */
    void retryWithheld() {
        addContent(line("request.retry-withheld")).log();
    }

    private EventLog.Line addContent(EventLog.Line line) {
        return line.with("parts", mRequest.prompt().describeParts())
                .with("fingerprint", mRequest.fingerprint());
    }
}
