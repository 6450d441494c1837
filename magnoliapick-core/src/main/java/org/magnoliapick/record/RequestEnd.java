package org.magnoliapick.record;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.lib.RequestClass;
import org.magnoliapick.lib.RequestId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;

/**
 * How a request ended, as the caller saw it.
 *
 * @param atMillis when it ended, in milliseconds since the epoch
 * @param request the request
 * @param workspace its workspace
 * @param requestClass its class
 * @param cause {@link Cause#COMPLETED} for a whole answer, otherwise why there is none
 * @param upstream the upstream of the last attempt, if there was one
 * @param latencyMillis the time since it arrived
 * @param firstTokenMillis the time from its arrival to the first token, if one came
 * @param tokenGapMillis the longest time between two tokens, if there were two
 * @param usedUnits the service it used
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
    /** Returns the record to keep. */
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

    /** Reads the end of a request from its record, or returns empty for other records. */
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

    private static RequestClass requestClass(Map<String, Double> numbers) {
        int place = numbers.getOrDefault(NumberNames.REQUEST_CLASS, 1.0).intValue();
        RequestClass[] classes = RequestClass.values();
        return classes[Math.max(0, Math.min(place, classes.length - 1))];
    }

    private static Optional<Long> millis(Map<String, Double> numbers, String name) {
        return Optional.ofNullable(numbers.get(name)).map(Double::longValue);
    }
}
