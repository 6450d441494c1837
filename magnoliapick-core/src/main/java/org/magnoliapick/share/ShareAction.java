package org.magnoliapick.share;

import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.record.DecisionRecord;

/** An action that a {@link ShareNode} requests from its process. */
public sealed interface ShareAction {
    /**
     * Sends the request to the upstream now.
     *
     * @param request the request
     * @param upstream the upstream whose slot the request takes
     */
    record Start(RequestId request, UpstreamId upstream) implements ShareAction {}

    /**
     * Refuses the request, which was not sent to any upstream.
     *
     * @param request the request
     * @param kind the reason
     * @param retryAfterMillis the time after which the caller may retry, in milliseconds from now
     */
    record Refuse(RequestId request, ErrorKind kind, long retryAfterMillis)
            implements ShareAction {}

    /**
     * Sends a message to another entry instance. The message may be lost.
     *
     * @param to the receiver
     * @param message the message
     */
    record Send(InstanceId to, ShareMessage message) implements ShareAction {}

    /**
     * Stores a decision record.
     *
     * @param decision the record
     */
    record RecordDecision(DecisionRecord decision) implements ShareAction {}
}
