package org.magnoliapick.admin.internal;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.magnoliapick.admin.AdminQueries;
import org.magnoliapick.admin.AdminServices;
import org.magnoliapick.admin.FleetAnswer;
import org.magnoliapick.admin.SummaryReader;
import org.magnoliapick.record.FleetWindow;
import org.magnoliapick.record.SummaryBatch;
import org.magnoliapick.record.SummaryHistory;

/** Gathers what every instance and the log know. */
final class FleetCalls {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final String LOG_NAME = "log";

    private FleetCalls() {}

    /**
     * The summaries of the fleet.
     *
     * @param windows what happened, by window
     * @param unanswered the instances that did not answer; the log, if it could not be read
     */
    record Gathered(List<FleetWindow> windows, List<String> unanswered) {}

    static List<FleetAnswer> ask(AdminServices services, String topic, String question) {
        byte[] content = question.getBytes(StandardCharsets.UTF_8);
        return services.fleet().ask(topic, content, TIMEOUT);
    }

    /** Gathers the summaries since a time from the instances, and from the log for lost ones. */
    static Gathered summaries(AdminServices services, long fromMillis) {
        SummaryHistory history = new SummaryHistory();
        List<String> unanswered = new ArrayList<>();
        SummaryReader.Kept kept = services.summaries().since(fromMillis, services.clock().millis());
        kept.batches().forEach(history::add);
        if (!kept.isWhole()) {
            unanswered.add(LOG_NAME);
        }
        String question = Long.toString(fromMillis);
        for (FleetAnswer answer : ask(services, AdminQueries.SUMMARIES, question)) {
            if (answer.content().isEmpty()) {
                unanswered.add(answer.instance().value());
            } else {
                String lines = new String(answer.content().get(), StandardCharsets.UTF_8);
                lines.lines()
                        .map(line -> SummaryBatch.decode(line.getBytes(StandardCharsets.UTF_8)))
                        .forEach(batch -> batch.ifPresent(history::add));
            }
        }
        return new Gathered(FleetWindow.of(history.since(fromMillis)), unanswered);
    }
}
