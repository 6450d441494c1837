package org.magnoliapick.internal.share;

import java.util.Map;
import java.util.Optional;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.record.Cause;
import org.magnoliapick.record.DecisionRecord;
import org.magnoliapick.record.Step;
import org.magnoliapick.share.QueuedRequest;
import org.magnoliapick.share.ShareAction;

/** Creates the actions that write the decision records of a {@link BaseShareNode}. */
final class DecisionRecords {
    private DecisionRecords() {}

    /** Creates the record that a request was queued. */
    static ShareAction admitted(QueuedRequest request, QueueTable queues, long nowMillis) {
        return action(
                nowMillis,
                Step.ADMISSION,
                Cause.ADMITTED,
                request,
                Optional.empty(),
                Optional.empty(),
                Map.of(
                        "queuedInWorkspace", (double) queues.size(request.workspace()),
                        "queuedInInstance", (double) queues.size()));
    }

    /** Creates the record that a request was refused. */
    static ShareAction refused(
            QueuedRequest request, ErrorKind kind, long retryAfterMillis, long nowMillis) {
        return action(
                nowMillis,
                Step.REFUSAL,
                Cause.of(kind),
                request,
                Optional.empty(),
                Optional.empty(),
                Map.of(
                        "retryAfterMillis", (double) retryAfterMillis,
                        "deadlineInMillis", (double) (request.deadlineMillis() - nowMillis)));
    }

    /** Creates the record of why a request waited before it was started. */
    static ShareAction waited(
            WaitingRequest waiting, Cause cause, Optional<WorkspaceId> ahead, long nowMillis) {
        return action(
                nowMillis,
                Step.QUEUE,
                cause,
                waiting.request(),
                Optional.empty(),
                ahead,
                Map.of("waitedMillis", (double) (nowMillis - waiting.arrivedMillis())));
    }

    /** Creates the record of the upstream where a request was started and why it was chosen. */
    static ShareAction started(
            RunningRequest running, Cause cause, double normalisedService, long nowMillis) {
        Upstream upstream = running.upstream();
        return action(
                nowMillis,
                Step.UPSTREAM_CHOICE,
                cause,
                running.request(),
                Optional.of(upstream),
                Optional.empty(),
                Map.of(
                        "limit",
                        (double) upstream.limit(nowMillis),
                        "inFlightHere",
                        (double) upstream.inFlight(),
                        "estimateUnits",
                        running.estimateUnits(),
                        "normalisedService",
                        normalisedService));
    }

    /** Creates the record that an upstream was ejected. */
    static ShareAction ejected(RunningRequest running, long nowMillis) {
        return action(
                nowMillis,
                Step.UPSTREAM_CHOICE,
                Cause.EJECTED,
                running.request(),
                Optional.of(running.upstream()),
                Optional.empty(),
                Map.of());
    }

    private static ShareAction action(
            long nowMillis,
            Step step,
            Cause cause,
            QueuedRequest request,
            Optional<Upstream> upstream,
            Optional<WorkspaceId> ahead,
            Map<String, Double> numbers) {
        return new ShareAction.RecordDecision(
                new DecisionRecord(
                        nowMillis,
                        step,
                        cause,
                        Optional.of(request.id()),
                        Optional.of(request.workspace()),
                        upstream.map(Upstream::id),
                        ahead,
                        numbers));
    }
}
