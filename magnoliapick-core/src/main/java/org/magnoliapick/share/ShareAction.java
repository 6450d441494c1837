package org.magnoliapick.share;

import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.record.DecisionRecord;

/** What a {@link ShareNode} asks its process to do. */
public sealed interface ShareAction {
    /**
     * Send the request to the upstream now.
     *
     * @param request the request
     * @param upstream the upstream that has a slot for it
     */
    record Start(RequestId request, UpstreamId upstream) implements ShareAction {}

    /**
     * Refuse the request; it was never sent.
     *
     * @param request the request
     * @param kind why
     * @param retryAfterMillis when the caller may come back, in milliseconds from now
     */
    record Refuse(RequestId request, ErrorKind kind, long retryAfterMillis)
            implements ShareAction {}

    /**
     * Send a message to another entry instance; it may be lost.
     *
     * @param to the receiver
     * @param message the message
     */
    record Send(InstanceId to, ShareMessage message) implements ShareAction {}

    /**
     * Keep a decision record.
     *
     * @param decision the record
     */
    record RecordDecision(DecisionRecord decision) implements ShareAction {}
}
