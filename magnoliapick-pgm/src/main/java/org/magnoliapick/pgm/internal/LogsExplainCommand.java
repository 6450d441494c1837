package org.magnoliapick.pgm.internal;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Tells the story of a request from the gateways' log files, for when the instances are gone: what
 * was decided about it, its cause, and what the instances believed of the upstreams at that time.
 */
final class LogsExplainCommand implements Command {
    /** The most files that one command reads. */
    static final int MAX_FILES = 1_000;

    /** How long before a decision a dispatcher's belief is told: two of its lines. */
    private static final long LOAD_MILLIS = 2_000;

    /** How long before and after a request changes of its upstreams are told. */
    private static final long AROUND_MILLIS = 3_000;

    private static final String REFUSED = "request.refused";
    private static final String LOAD = "pool.load";
    private static final String UPSTREAM = "upstream.";

    /** The lines of quarantines, and the field that tells what is quarantined. */
    private static final Map<String, String> QUARANTINED =
            Map.of("prompt.quarantined", "part", "fingerprint.quarantined", "fingerprint");

    /** Reasons that several kinds of lines may name and that have a text of their own. */
    private static final Set<String> REASONS =
            Set.of("quarantined", "rate-limited", "no-upstream", "paused", "stopping");

    /** The ends of a request that have a cause to be told. */
    private static final Set<String> FAILED =
            Set.of(
                    REFUSED,
                    "request.rejected",
                    "request.failed",
                    "request.timed-out",
                    "request.caller-gone",
                    "request.fault",
                    "request.upstream-failure");

    private static final String WHOLE = "request.whole";
    private static final String STARTED = "instance.started";

    @Override
    public ExitCode run(Invocation invocation) {
        String request = invocation.argument(0, "the identifier of a request");
        invocation.argument(1, "a log file");
        List<String> files = invocation.arguments().subList(1, invocation.arguments().size());
        List<LogLine> story =
                LogLine.read(
                        files,
                        text -> text.contains(request),
                        line -> line.text("request").equals(request));
        if (story.isEmpty()) {
            invocation.print(PgmText.get("logsNothing", request));
            return ExitCode.OK;
        }
        tell(invocation, story);
        tellCause(invocation, story.get(story.size() - 1), files);
        tellBeliefs(invocation, story, files);
        tellQuarantines(invocation, story, files);
        for (Statement statement : Statement.values()) {
            tellStatements(invocation, statement, story, files);
        }
        return ExitCode.OK;
    }

    private static void tell(Invocation invocation, List<LogLine> story) {
        LogLine first = story.get(0);
        invocation.print(
                PgmText.get(
                        "logsHead",
                        first.text("request"),
                        first.fields().path("workspace").asText("-"),
                        first.fields().path("route").asText("-"),
                        first.fields().path("configVersion").asText("-")));
        story.forEach(line -> invocation.print(line.told(first.atMillis())));
        LogLine last = story.get(story.size() - 1);
        if (last.fields().has("firstMillis")) {
            long waited = last.fields().path("waitedMillis").asLong();
            long firstMillis = last.fields().path("firstMillis").asLong();
            long tookMillis = last.fields().path("tookMillis").asLong();
            invocation.print(
                    PgmText.get(
                            "logsTimes",
                            tookMillis,
                            waited,
                            firstMillis - waited,
                            tookMillis - firstMillis));
        }
    }

    /** Tells that the instance of a request's last line began another life after it, if it did. */
    private static Optional<String> killed(LogLine last, List<String> files) {
        List<LogLine> after =
                LogLine.read(
                        files,
                        text -> text.contains(last.instanceMark()),
                        line ->
                                line.source().equals(last.source())
                                        && line.atMillis() >= last.atMillis());
        long heardMillis = last.atMillis();
        for (LogLine line : after) {
            if (line.kind().equals(STARTED)) {
                return Optional.of(
                        PgmText.get(
                                "logsCause.killed",
                                line.atMillis() - last.atMillis(),
                                heardMillis - last.atMillis()));
            }
            heardMillis = line.atMillis();
        }
        return Optional.empty();
    }

    private static void tellCause(Invocation invocation, LogLine last, List<String> files) {
        if (FAILED.contains(last.kind())) {
            // The cause of an upstream's choice is no cause of the end; only a refusal has one.
            boolean refused = last.kind().equals(REFUSED);
            String reason = last.text(refused ? "cause" : "error");
            invocation.print(
                    REASONS.contains(reason)
                            ? PgmText.get("logsCause." + reason)
                            : PgmText.get("logsCause." + last.kind(), reason));
        } else if (!last.kind().equals(WHOLE)) {
            invocation.print(killed(last, files).orElseGet(() -> PgmText.get("logsCause.none")));
        }
    }

    private static void tellBeliefs(
            Invocation invocation, List<LogLine> story, List<String> files) {
        long fromMillis = story.get(0).atMillis();
        long untilMillis = story.get(story.size() - 1).atMillis();
        Set<String> upstreams =
                story.stream()
                        .map(line -> line.text("upstream"))
                        .filter(name -> !name.isEmpty())
                        .collect(Collectors.toSet());
        List<LogLine> beliefs =
                LogLine.read(
                        files,
                        text -> text.contains(LOAD) || text.contains(UPSTREAM),
                        line ->
                                isLoad(line, fromMillis, untilMillis)
                                        || isChange(line, upstreams, fromMillis, untilMillis));
        beliefs.stream()
                .filter(line -> line.kind().equals(LOAD))
                .reduce((former, latter) -> latter)
                .ifPresent(line -> invocation.print(line.told(fromMillis)));
        beliefs.stream()
                .filter(line -> !line.kind().equals(LOAD))
                .forEach(line -> invocation.print(line.told(fromMillis)));
    }

    /**
     * Tells which prompt parts or fingerprints were quarantined that the request has, or whose
     * requests crashed an upstream that the request was sent to; each with the evidence that the
     * last line has.
     */
    private static void tellQuarantines(
            Invocation invocation, List<LogLine> story, List<String> files) {
        Set<String> words = new HashSet<>();
        for (LogLine line : story) {
            words.add(line.text("part"));
            words.add(line.text("fingerprint"));
            words.addAll(List.of(line.text("parts").split(" ")));
            words.add(line.text("upstream"));
        }
        words.remove("");
        Map<String, LogLine> lastById = new TreeMap<>();
        LogLine.read(
                        files,
                        text -> QUARANTINED.keySet().stream().anyMatch(text::contains),
                        line -> QUARANTINED.containsKey(line.kind()) && concerns(line, words))
                .forEach(line -> lastById.put(quarantinedId(line), line));
        long fromMillis = story.get(0).atMillis();
        lastById.values().forEach(line -> invocation.print(line.told(fromMillis)));
    }

    /**
     * Tells the statements of upstreams that were in force at the request's last line: of the
     * upstreams that it was sent to, or of all if they were the reason to refuse it. Of several
     * instances' lines the last one is told.
     */
    private static void tellStatements(
            Invocation invocation, Statement statement, List<LogLine> story, List<String> files) {
        LogLine last = story.get(story.size() - 1);
        boolean all = last.text("cause").equals(statement.mRefusalCause);
        Set<String> upstreams =
                story.stream().map(line -> line.text("upstream")).collect(Collectors.toSet());
        Map<String, LogLine> lastByUpstream = new TreeMap<>();
        LogLine.read(
                        files,
                        text -> text.contains(statement.mPrefix),
                        line ->
                                line.kind().startsWith(statement.mPrefix)
                                        && line.atMillis() <= last.atMillis()
                                        && (all || upstreams.contains(line.text("upstream"))))
                .forEach(line -> lastByUpstream.put(line.text("upstream"), line));
        long fromMillis = story.get(0).atMillis();
        lastByUpstream.values().stream()
                .filter(line -> line.kind().equals(statement.mInForce))
                .forEach(line -> invocation.print(line.told(fromMillis)));
    }

    private static String quarantinedId(LogLine line) {
        return line.text(QUARANTINED.get(line.kind()));
    }

    private static boolean concerns(LogLine line, Set<String> words) {
        // The evidence lists each crashed upstream, a slash and its requests.
        return words.contains(quarantinedId(line))
                || Stream.of(line.text("evidence").split(" "))
                        .anyMatch(each -> words.contains(each.split("/")[0]));
    }

    private static boolean isLoad(LogLine line, long fromMillis, long untilMillis) {
        return line.kind().equals(LOAD)
                && line.atMillis() >= fromMillis - LOAD_MILLIS
                && line.atMillis() <= untilMillis;
    }

    private static boolean isChange(
            LogLine line, Set<String> upstreams, long fromMillis, long untilMillis) {
        return line.kind().startsWith(UPSTREAM)
                && Stream.of(Statement.values())
                        .noneMatch(each -> line.kind().startsWith(each.mPrefix))
                && upstreams.contains(line.text("upstream"))
                && line.atMillis() >= fromMillis - AROUND_MILLIS
                && line.atMillis() <= untilMillis + AROUND_MILLIS;
    }

    /** What upstreams state about themselves. */
    private enum Statement {
        RATE_LIMIT("upstream.rate-", "upstream.rate-limited", "rate-limited"),
        LEAVING("upstream.leaving", "upstream.leaving", "no-upstream"),
        PAUSE("upstream.pause", "upstream.paused", "paused");

        /** The prefix of the kinds of its lines. */
        private final String mPrefix;

        /** The kind of the line that begins it. */
        private final String mInForce;

        /** The cause of refusals that it may be the reason for. */
        private final String mRefusalCause;

        Statement(String prefix, String inForce, String refusalCause) {
            mPrefix = prefix;
            mInForce = inForce;
            mRefusalCause = refusalCause;
        }
    }
}
