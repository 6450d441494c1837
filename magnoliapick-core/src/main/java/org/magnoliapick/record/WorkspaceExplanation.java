package org.magnoliapick.record;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.magnoliapick.lib.WorkspaceId;

/**
 * Why the requests of a workspace waited.
 *
 * @param workspace the workspace
 * @param fromMillis the beginning of the time told of, in milliseconds since the epoch
 * @param sentences the story in plain sentences
 * @param waitedMillis the time waited by cause, longest first
 * @param ahead who was ahead and for how long, longest first
 * @param admitted the requests queued
 * @param ended the requests that ended after they were started
 * @param refused the requests refused by cause, most first
 * @param usedUnits the service used
 * @param backloggedMillis how long at least one request waited
 */
public record WorkspaceExplanation(
        String workspace,
        long fromMillis,
        List<String> sentences,
        List<Share> waitedMillis,
        List<Share> ahead,
        long admitted,
        long ended,
        List<Share> refused,
        double usedUnits,
        long backloggedMillis) {
    /**
     * A named amount and its part of the whole.
     *
     * @param name what it is the amount of
     * @param amount how much
     * @param ratio its part of the whole
     */
    public record Share(String name, long amount, double ratio) {}

    /** Copies the lists. */
    public WorkspaceExplanation {
        sentences = List.copyOf(sentences);
        waitedMillis = List.copyOf(waitedMillis);
        ahead = List.copyOf(ahead);
        refused = List.copyOf(refused);
    }

    /** Tells the story from the summary of all instances since a time. */
    public static WorkspaceExplanation of(WorkspaceId workspace, WorkspaceSummary summary, long fromMillis) {
        List<Share> waited = shares(summary.waitedMillis());
        List<Share> ahead = shares(summary.aheadMillis());
        List<Share> refused = shares(summary.refused());
        return new WorkspaceExplanation(
                workspace.value(),
                fromMillis,
                sentences(workspace, summary, ahead),
                waited,
                ahead,
                summary.admitted(),
                summary.ended(),
                refused,
                summary.usedUnits(),
                summary.backloggedMillis());
    }

    private static List<String> sentences(
            WorkspaceId workspace, WorkspaceSummary summary, List<Share> ahead) {
        List<String> sentences = new ArrayList<>();
        sentences.add(
                String.format(
                        Locale.ROOT,
                        "%s had %d requests queued and %d ended; they used %.0f units.",
                        workspace,
                        summary.admitted(),
                        summary.ended(),
                        summary.usedUnits()));
        if (summary.totalWaitedMillis() == 0) {
            sentences.add("None of its started requests waited.");
        }
        byAmount(summary.waitedMillis())
                .forEach(
                        each ->
                                sentences.add(
                                        waitSentence(
                                                each.getKey(),
                                                each.getValue(),
                                                summary.totalWaitedMillis())));
        ahead.forEach(
                each ->
                        sentences.add(
                                String.format(
                                        Locale.ROOT,
                                        "%s was ahead for %d ms: it had received less service for"
                                                + " its weight.",
                                        each.name(),
                                        each.amount())));
        byAmount(summary.refused())
                .forEach(
                        each ->
                                sentences.add(
                                        each.getValue()
                                                + " requests were refused because "
                                                + each.getKey().phrase()
                                                + "."));
        return sentences;
    }

    private static String waitSentence(Cause cause, long millis, long totalMillis) {
        return String.format(
                Locale.ROOT,
                "%.0f %% of its waiting (%d of %d ms, summed over requests) was because %s.",
                100.0 * millis / totalMillis,
                millis,
                totalMillis,
                cause.phrase());
    }

    private static <K> List<Share> shares(Map<K, Long> amounts) {
        double total = amounts.values().stream().mapToLong(Long::longValue).sum();
        return byAmount(amounts).stream()
                .map(
                        each ->
                                new Share(
                                        name(each.getKey()),
                                        each.getValue(),
                                        each.getValue() / total))
                .toList();
    }

    private static String name(Object key) {
        return key instanceof Cause cause ? cause.wireName() : key.toString();
    }

    private static <K> List<Map.Entry<K, Long>> byAmount(Map<K, Long> amounts) {
        Comparator<Map.Entry<K, Long>> order =
                Comparator.comparingLong((Map.Entry<K, Long> each) -> -each.getValue())
                        .thenComparing(each -> name(each.getKey()));
        return amounts.entrySet().stream().sorted(order).toList();
    }
}
