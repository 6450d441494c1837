package org.magnoliapick.relay;

import org.magnoliapick.errors.ErrorKind;

/** The step that follows the end of an attempt. */
public sealed interface RelayStep {
    /** Send the request again, to another upstream if there is one. */
    record Retry() implements RelayStep {}

    /** Resume the stream at another upstream after the last event that was relayed. */
    record Resume(long afterEvent) implements RelayStep {}

    /** Send the caller an error. */
    record Fail(ErrorKind kind) implements RelayStep {}

    /** Close the caller's connection, since its answer has begun and cannot be completed. */
    record Abort(ErrorKind kind) implements RelayStep {}

    /** Relay the failure that the upstream itself reported. */
    record RelayFailure() implements RelayStep {}
}
