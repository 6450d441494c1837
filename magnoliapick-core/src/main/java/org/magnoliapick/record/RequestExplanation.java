package org.magnoliapick.record;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.magnoliapick.lib.InstanceId;

/**
 * Explanation of what happened to one request, derived from its decision records.
 *
 * @param sentences the explanation as sentences for operators, in order of time
 * @param parts the breakdown of its latency; the lengths add up to {@code latencyMillis}
 * @param latencyMillis the time from its arrival to its end, or to the last decision if it has not
 *     ended
 * @param isEnded whether the request has ended
 */
public record RequestExplanation(
        List<String> sentences, List<Part> parts, long latencyMillis, boolean isEnded) {
    /**
     * The total time that a request spent in one phase.
     *
     * @param name the phase
     * @param millis the time in milliseconds
     */
    public record Part(String name, long millis) {}

    /** Creates an explanation; the lists are copied. */
    public RequestExplanation {
        sentences = List.copyOf(sentences);
        parts = List.copyOf(parts);
    }

    /**
     * Returns the explanation derived from the decisions about a request; empty without decisions.
     */
    public static Optional<RequestExplanation> of(
            InstanceId instance, List<KeptDecision> decisions) {
        if (decisions.isEmpty()) {
            return Optional.empty();
        }
        List<KeptDecision> ordered = new ArrayList<>(decisions);
        ordered.sort(Comparator.comparingLong(kept -> kept.decision().atMillis()));
        return Optional.of(explain(instance, ordered));
    }

    private static RequestExplanation explain(InstanceId instance, List<KeptDecision> ordered) {
        Optional<RequestEnd> end =
                ordered.stream()
                        .flatMap(kept -> RequestEnd.of(kept.decision()).stream())
                        .reduce((first, last) -> last);
        long firstMillis = ordered.get(0).decision().atMillis();
        long lastMillis = ordered.get(ordered.size() - 1).decision().atMillis();
        long arrivedMillis = end.map(it -> it.atMillis() - it.latencyMillis()).orElse(firstMillis);
        long endedMillis = end.map(RequestEnd::atMillis).orElse(lastMillis);
        List<String> sentences = new ArrayList<>();
        sentences.add(
                String.format(
                        Locale.ROOT,
                        "Instance %s received the request under configuration %d.",
                        instance,
                        ordered.get(0).configOffset()));
        for (KeptDecision kept : ordered) {
            sentences.add(sentence(kept.decision(), arrivedMillis));
        }
        List<Part> parts = parts(ordered, arrivedMillis, endedMillis);
        sentences.add(totalSentence(parts, endedMillis - arrivedMillis, end.isPresent()));
        return new RequestExplanation(
                sentences, parts, endedMillis - arrivedMillis, end.isPresent());
    }

    /** Attributes each interval between two decisions to the phase that the request was in. */
    private static List<Part> parts(
            List<KeptDecision> ordered, long arrivedMillis, long endedMillis) {
        Map<String, Long> lengths = new LinkedHashMap<>();
        String phase = "reading and checking";
        long phaseStartMillis = arrivedMillis;
        for (KeptDecision kept : ordered) {
            DecisionRecord decision = kept.decision();
            long phaseEndMillis =
                    Math.max(phaseStartMillis, Math.min(decision.atMillis(), endedMillis));
            lengths.merge(phase, phaseEndMillis - phaseStartMillis, Long::sum);
            phaseStartMillis = phaseEndMillis;
            phase = phaseAfter(decision, phase);
        }
        lengths.merge(phase, endedMillis - phaseStartMillis, Long::sum);
        return lengths.entrySet().stream()
                .filter(each -> each.getValue() > 0)
                .map(each -> new Part(each.getKey(), each.getValue()))
                .collect(Collectors.toList());
    }

    private static String phaseAfter(DecisionRecord decision, String before) {
        if (decision.step() == Step.ADMISSION && decision.cause() == Cause.ADMITTED) {
            return "waiting in the queue";
        }
        if (decision.step() == Step.UPSTREAM_CHOICE && decision.upstream().isPresent()) {
            return decision.cause() == Cause.EJECTED
                    ? before
                    : "at upstream " + decision.upstream().get();
        }
        return decision.step() == Step.RETRY ? "waiting to be repeated" : before;
    }

    private static String sentence(DecisionRecord decision, long arrivedMillis) {
        String text = StepText.of(decision.step()).sentence(decision);
        String numbers = numbers(decision.numbers());
        return String.format(
                Locale.ROOT,
                "After %d ms: %s%s.",
                Math.max(0, decision.atMillis() - arrivedMillis),
                text,
                numbers.isEmpty() ? "" : " (" + numbers + ")");
    }

    private static String numbers(Map<String, Double> numbers) {
        return new TreeMap<>(numbers)
                .entrySet().stream()
                        .filter(each -> !each.getKey().equals(NumberNames.REQUEST_CLASS))
                        .map(each -> each.getKey() + " " + format(each.getValue()))
                        .collect(Collectors.joining(", "));
    }

    private static String format(double number) {
        return number == Math.rint(number)
                ? String.format(Locale.ROOT, "%.0f", number)
                : String.format(Locale.ROOT, "%.2f", number);
    }

    private static String totalSentence(List<Part> parts, long latencyMillis, boolean isEnded) {
        String sum =
                parts.stream()
                        .map(part -> part.millis() + " ms " + part.name())
                        .collect(Collectors.joining(" + "));
        String total = isEnded ? "In all " : "So far ";
        return sum.isEmpty()
                ? total + latencyMillis + " ms."
                : total + latencyMillis + " ms = " + sum + ".";
    }
}
