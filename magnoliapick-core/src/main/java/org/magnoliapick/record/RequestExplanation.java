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
 * What happened to one request, told from its decisions.
 *
 * @param sentences the story in plain sentences, in order
 * @param parts where its time went; the lengths add up to the latency
 * @param latencyMillis the time from its arrival to its end, or to the last decision so far
 * @param isEnded whether it has ended
 */
public record RequestExplanation(
        List<String> sentences, List<Part> parts, long latencyMillis, boolean isEnded) {
    /**
     * A span of the request's time.
     *
     * @param name what it was spent on
     * @param millis how long
     */
    public record Part(String name, long millis) {}

    /** Copies the lists. */
    public RequestExplanation {
        sentences = List.copyOf(sentences);
        parts = List.copyOf(parts);
    }

    /** Tells the story, or returns empty where there is no decision to tell it from. */
    public static Optional<RequestExplanation> of(InstanceId instance, List<KeptDecision> decisions) {
        if (decisions.isEmpty()) {
            return Optional.empty();
        }
        List<KeptDecision> ordered = new ArrayList<>(decisions);
        ordered.sort(Comparator.comparingLong(kept -> kept.decision().atMillis()));
        return Optional.of(tell(instance, ordered));
    }

    private static RequestExplanation tell(InstanceId instance, List<KeptDecision> ordered) {
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
                        "Instance %s took the request under configuration %d.",
                        instance,
                        ordered.get(0).configOffset()));
        for (KeptDecision kept : ordered) {
            sentences.add(sentence(kept.decision(), arrivedMillis));
        }
        List<Part> parts = parts(ordered, arrivedMillis, endedMillis);
        sentences.add(sumSentence(parts, endedMillis - arrivedMillis, end.isPresent()));
        return new RequestExplanation(sentences, parts, endedMillis - arrivedMillis, end.isPresent());
    }

    /** Gives each span between two decisions to what the request did in it. */
    private static List<Part> parts(
            List<KeptDecision> ordered, long arrivedMillis, long endedMillis) {
        Map<String, Long> lengths = new LinkedHashMap<>();
        String doing = "reading and checking";
        long sinceMillis = arrivedMillis;
        for (KeptDecision kept : ordered) {
            DecisionRecord decision = kept.decision();
            long untilMillis = Math.max(sinceMillis, Math.min(decision.atMillis(), endedMillis));
            lengths.merge(doing, untilMillis - sinceMillis, Long::sum);
            sinceMillis = untilMillis;
            doing = doingAfter(decision, doing);
        }
        lengths.merge(doing, endedMillis - sinceMillis, Long::sum);
        return lengths.entrySet().stream()
                .filter(each -> each.getValue() > 0)
                .map(each -> new Part(each.getKey(), each.getValue()))
                .collect(Collectors.toList());
    }

    private static String doingAfter(DecisionRecord decision, String before) {
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
        String about = StepText.of(decision.step()).sentence(decision);
        String numbers = numbers(decision.numbers());
        return String.format(
                Locale.ROOT,
                "After %d ms: %s%s.",
                Math.max(0, decision.atMillis() - arrivedMillis),
                about,
                numbers.isEmpty() ? "" : " (" + numbers + ")");
    }

    private static String numbers(Map<String, Double> numbers) {
        return new TreeMap<>(numbers)
                .entrySet().stream()
                        .filter(each -> !each.getKey().equals(NumberNames.REQUEST_CLASS))
                        .map(each -> each.getKey() + " " + shown(each.getValue()))
                        .collect(Collectors.joining(", "));
    }

    private static String shown(double number) {
        return number == Math.rint(number)
                ? String.format(Locale.ROOT, "%.0f", number)
                : String.format(Locale.ROOT, "%.2f", number);
    }

    private static String sumSentence(List<Part> parts, long latencyMillis, boolean isEnded) {
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
