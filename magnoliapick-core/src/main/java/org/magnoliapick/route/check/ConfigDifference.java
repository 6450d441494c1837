package org.magnoliapick.route.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;
import org.magnoliapick.route.CallerLimits;
import org.magnoliapick.route.Route;
import org.magnoliapick.route.ServiceSpec;
import org.magnoliapick.route.TrafficConfig;
import org.magnoliapick.route.WorkspaceSpec;

/** Tells in words what a version of the configuration changes. */
public final class ConfigDifference {
    private final List<String> mLines = new ArrayList<>();

    private ConfigDifference() {}

    /**
     * Returns one line for each difference; empty if there is none.
     *
     * @param before the version in force
     * @param after the version that is to replace it
     */
    public static List<String> between(TrafficConfig before, TrafficConfig after) {
        ConfigDifference difference = new ConfigDifference();
        difference.compareEntries(
                "route",
                before.routes().all(),
                after.routes().all(),
                Route::name,
                difference::compareRoutes);
        difference.compareEntries(
                "service",
                before.services(),
                after.services(),
                ServiceSpec::name,
                difference::compareServices);
        if (before.requiresKeys() != after.requiresKeys()) {
            difference.mLines.add(
                    "API keys: " + required(before) + " before, " + required(after) + " now");
        }
        difference.compareEntries(
                "workspace",
                before.workspaces(),
                after.workspaces(),
                each -> each.id().value(),
                difference::compareWorkspaces);
        difference.compareLimits(before.limits(), after.limits());
        difference.compare(
                "tokens per second",
                before.tokensPerSecond().toString(),
                after.tokensPerSecond().toString());
        return List.copyOf(difference.mLines);
    }

    private static String required(TrafficConfig config) {
        return config.requiresKeys() ? "required" : "not required";
    }

    private interface Comparison<T> {
        void compare(String subject, T before, T after);
    }

    private <T> void compareEntries(
            String kind,
            Iterable<T> before,
            Iterable<T> after,
            Function<T, String> name,
            Comparison<T> comparison) {
        Map<String, T> beforeByName = byName(before, name);
        Map<String, T> afterByName = byName(after, name);
        beforeByName.forEach(
                (each, entry) -> {
                    T replacement = afterByName.get(each);
                    if (replacement == null) {
                        mLines.add(kind + " " + each + ": removed");
                    } else if (!replacement.equals(entry)) {
                        comparison.compare(kind + " " + each, entry, replacement);
                    }
                });
        afterByName.keySet().stream()
                .filter(each -> !beforeByName.containsKey(each))
                .forEach(each -> mLines.add(kind + " " + each + ": added"));
    }

    private static <T> Map<String, T> byName(Iterable<T> entries, Function<T, String> name) {
        Map<String, T> byName = new LinkedHashMap<>();
        entries.forEach(each -> byName.put(name.apply(each), each));
        return byName;
    }

    private void compare(String subject, Object before, Object after) {
        if (!Objects.equals(before, after)) {
            mLines.add(subject + ": " + before + " before, " + after + " now");
        }
    }

    private void compareRoutes(String subject, Route before, Route after) {
        int lines = mLines.size();
        compare(
                subject + ": path",
                before.host() + before.pathPrefix(),
                after.host() + after.pathPrefix());
        compare(subject + ": kind", before.kind(), after.kind());
        compare(subject + ": timeout ms", before.timeoutMillis(), after.timeoutMillis());
        compare(subject + ": objective ms", before.objectiveMillis(), after.objectiveMillis());
        compare(
                subject + ": gap objective ms",
                before.gapObjectiveMillis(),
                after.gapObjectiveMillis());
        compare(subject + ": priority", before.priority(), after.priority());
        compare(subject + ": services", before.services(), after.services());
        compare(subject + ": attempts", before.maxAttempts(), after.maxAttempts());
        compare(subject + ": public", before.isPublic(), after.isPublic());
        compare(subject + ": resumable", before.resumable(), after.resumable());
        addUnlessNamed(subject, lines);
    }

    private void compareServices(String subject, ServiceSpec before, ServiceSpec after) {
        int lines = mLines.size();
        compare(subject + ": connections", before.maxConnections(), after.maxConnections());
        compare(subject + ": engine", before.engine(), after.engine());
        compare(subject + ": cold state", before.cold(), after.cold());
        addUnlessNamed(subject, lines);
    }

    /** Reports a difference in a field that has no line of its own. */
    private void addUnlessNamed(String subject, int linesBefore) {
        if (mLines.size() == linesBefore) {
            mLines.add(subject + ": changed");
        }
    }

    /** Counts keys instead of naming them, because they are secret. */
    private void compareWorkspaces(String subject, WorkspaceSpec before, WorkspaceSpec after) {
        long removed = before.keys().stream().filter(key -> !after.keys().contains(key)).count();
        long added = after.keys().stream().filter(key -> !before.keys().contains(key)).count();
        int lines = mLines.size();
        if (removed > 0) {
            mLines.add(subject + ": keys removed: " + removed);
        }
        if (added > 0) {
            mLines.add(subject + ": keys added: " + added);
        }
        compare(subject + ": priority", before.priority(), after.priority());
        addUnlessNamed(subject, lines);
    }

    private void compareLimits(CallerLimits before, CallerLimits after) {
        compare("limit on head bytes", before.maxHeaderBytes(), after.maxHeaderBytes());
        compare("limit on body bytes", before.maxBodyBytes(), after.maxBodyBytes());
        compare("head timeout ms", before.headerTimeoutMillis(), after.headerTimeoutMillis());
        compare("idle timeout ms", before.idleTimeoutMillis(), after.idleTimeoutMillis());
    }
}
