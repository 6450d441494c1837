package org.magnoliapick.router.internal.caller;

import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.magnoliapick.claim.ClaimOutcome;
import org.magnoliapick.claim.ClaimVerdict;
import org.magnoliapick.errors.ErrorKind;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.InstanceId;

/** Claims of requests with an idempotency key. No call blocks. */
public interface Claims {
    /**
     * Appends a claim and reports what the log decided.
     *
     * @param onVerdict takes the decision
     * @param onRefused takes the kind and the wait in milliseconds if there is none to be had
     */
    void claim(
            CallerRequest request,
            AttemptId claim,
            Consumer<ClaimVerdict> onVerdict,
            BiConsumer<ErrorKind, Long> onRefused);

    /** Appends how a claim ended; withdraws one that is not decided. */
    void recordOutcome(CallerRequest request, AttemptId claim, ClaimOutcome outcome);

    /** Keeps an answer for callers that ask again through any instance. */
    void keep(AttemptId claim, KeptAnswer answer);

    /** Fetches a kept answer from the instance that has it. */
    void fetchKept(InstanceId holder, AttemptId claim, Consumer<Optional<KeptAnswer>> onAnswer);
}
