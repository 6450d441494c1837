package org.magnoliapick.record;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.magnoliapick.lib.WorkspaceId;

/**
 * Explanation of why the requests of a workspace waited.
 *
 * @param workspace the workspace
 * @param fromMillis the start of the explained time, in milliseconds since the epoch
 * @param sentences the explanation as sentences for operators
 * @param waitedMillis the time waited in milliseconds by cause, longest first
 * @param ahead the time in milliseconds that each other workspace was ahead, longest first
 * @param admitted the number of requests queued
 * @param ended the number of requests that ended after they were started
 * @param refused the number of requests refused by cause, highest first
 * @param usedUnits the service used, in service units
 * @param backloggedMillis the time in which at least one request waited
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
     * A named amount and its fraction of the total.
     *
     * @param name the cause or workspace
     * @param amount the amount
     * @param ratio its fraction of the total, from 0 to 1
     */
    public record Share(String name, long amount, double ratio) {}

    /** Creates an explanation; the lists are copied. */
    public WorkspaceExplanation {
        sentences = List.copyOf(sentences);
        waitedMillis = List.copyOf(waitedMillis);
        ahead = List.copyOf(ahead);
        refused = List.copyOf(refused);
    }

    /**
     * Returns the explanation for a workspace.
     *
     * @param summary the summary of the workspace over all instances
     * @param fromMillis the start of the summarised time, in milliseconds since the epoch
     */
    public static WorkspaceExplanation of(
            WorkspaceId workspace, WorkspaceSummary summary, long fromMillis) {
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
