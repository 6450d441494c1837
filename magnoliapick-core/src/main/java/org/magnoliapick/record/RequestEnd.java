package org.magnoliapick.record;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.lib.RequestClass;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;

/**
 * The end of a request as observed by its caller.
 *
 * @param atMillis the time of the end, in milliseconds since the epoch
 * @param request the request
 * @param workspace its workspace
 * @param requestClass its class
 * @param cause {@link Cause#COMPLETED} for a complete response, otherwise the reason that there is
 *     none
 * @param upstream the upstream of the last attempt, if there was one
 * @param latencyMillis the time from its arrival to its end
 * @param firstTokenMillis the time from its arrival to its first token, if there was one
 * @param tokenGapMillis the longest time between two tokens, if there were at least two
 * @param usedUnits the service that it used
 */
public record RequestEnd(
        long atMillis,
        RequestId request,
        WorkspaceId workspace,
        RequestClass requestClass,
        Cause cause,
        Optional<UpstreamId> upstream,
        long latencyMillis,
        Optional<Long> firstTokenMillis,
        Optional<Long> tokenGapMillis,
        double usedUnits) {
    /** Returns the decision record of this end. */
    public DecisionRecord toRecord() {
        Map<String, Double> numbers = new HashMap<>();
        numbers.put(NumberNames.LATENCY_MILLIS, (double) latencyMillis);
        numbers.put(NumberNames.USED_UNITS, usedUnits);
        numbers.put(NumberNames.REQUEST_CLASS, (double) requestClass.ordinal());
        firstTokenMillis.ifPresent(
                it -> numbers.put(NumberNames.FIRST_TOKEN_MILLIS, it.doubleValue()));
        tokenGapMillis.ifPresent(it -> numbers.put(NumberNames.TOKEN_GAP_MILLIS, it.doubleValue()));
        return new DecisionRecord(
                atMillis,
                Step.END,
                cause,
                Optional.of(request),
                Optional.of(workspace),
                upstream,
                Optional.empty(),
                numbers);
    }

    /** Returns the end described by a decision record, or empty for other kinds of record. */
    public static Optional<RequestEnd> of(DecisionRecord decision) {
        boolean isEnd =
                decision.step() == Step.END
                        && decision.request().isPresent()
                        && decision.workspace().isPresent();
        if (!isEnd) {
            return Optional.empty();
        }
        Map<String, Double> numbers = decision.numbers();
        return Optional.of(
                new RequestEnd(
                        decision.atMillis(),
                        decision.request().get(),
                        decision.workspace().get(),
                        requestClass(numbers),
                        decision.cause(),
                        decision.upstream(),
                        numbers.getOrDefault(NumberNames.LATENCY_MILLIS, 0.0).longValue(),
                        millis(numbers, NumberNames.FIRST_TOKEN_MILLIS),
                        millis(numbers, NumberNames.TOKEN_GAP_MILLIS),
                        numbers.getOrDefault(NumberNames.USED_UNITS, 0.0)));
    }

    /** Returns the class; {@link RequestClass#STANDARD} if the record names none. */
    private static RequestClass requestClass(Map<String, Double> numbers) {
        int ordinal = numbers.getOrDefault(NumberNames.REQUEST_CLASS, 1.0).intValue();
        RequestClass[] classes = RequestClass.values();
        return classes[Math.max(0, Math.min(ordinal, classes.length - 1))];
    }

    private static Optional<Long> millis(Map<String, Double> numbers, String name) {
        return Optional.ofNullable(numbers.get(name)).map(Double::longValue);
    }
}
