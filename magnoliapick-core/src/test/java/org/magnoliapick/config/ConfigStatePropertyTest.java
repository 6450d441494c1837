package org.magnoliapick.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

final class ConfigStatePropertyTest {
    private static final String SEED = "7406";

    @Property(tries = 300, seed = SEED)
    void duplicatesAndSnapshotRestoresGiveTheSameState(
            @ForAll("logs") List<byte[]> log,
            @ForAll @Size(3) List<@IntRange(max = 40) Integer> restoreOffsets) {
        ConfigState uninterrupted = new ConfigState();
        ConfigState restored = new ConfigState();
        for (int offset = 0; offset < log.size(); offset++) {
            uninterrupted.apply(offset, offset * 10L, log.get(offset));
            if (restoreOffsets.contains(offset)) {
                restored = ConfigState.ofSnapshot(restored.snapshot()).orElseThrow();
                int firstReplayed = Math.max(0, offset - 5);
                for (int replayed = firstReplayed; replayed < offset; replayed++) {
                    restored.apply(replayed, replayed * 10L, log.get(replayed));
                }
            }
            restored.apply(offset, offset * 10L, log.get(offset));
            assertThat(restored.digest()).isEqualTo(uninterrupted.digest());
        }
        assertThat(restored.view()).isEqualTo(uninterrupted.view());
    }

    @Property(tries = 300, seed = SEED)
    void onlyAcceptedEntriesAdvanceTheRootVersion(@ForAll("logs") List<byte[]> log) {
        ConfigState state = new ConfigState();
        for (int offset = 0; offset < log.size(); offset++) {
            long before = state.version("");
            ApplyResult result = state.apply(offset, 0, log.get(offset));
            boolean isAccepted = result instanceof ApplyResult.Accepted;
            assertThat(state.version("")).isEqualTo(isAccepted ? offset : before);
        }
    }

    @Property(tries = 1_000, seed = SEED)
    void arbitraryBytesAreRejected(@ForAll byte[] bytes) {
        ConfigState state = new ConfigState();
        assertThat(state.apply(0, 0, bytes)).isInstanceOf(ApplyResult.Rejected.class);
        assertThat(ConfigState.ofSnapshot(state.snapshot()).orElseThrow().digest())
                .isEqualTo(state.digest());
        assertThat(ConfigState.ofSnapshot(bytes)).isEmpty();
    }

    @Property(tries = 1_000, seed = SEED)
    void arbitraryTextSurvivesSnapshots(
            @ForAll String id, @ForAll String author, @ForAll String path, @ForAll String value) {
        ConfigState state = new ConfigState();
        Map<String, String> values = Map.of("teams/" + path.replace("\"", ""), "1");
        state.apply(0, 0, Entries.set("x", Map.of(), values));
        String text =
                String.format(
                        "{\"id\":\"%s\",\"author\":\"%s\",\"set\":{\"%s\":\"%s\"}}",
                        escaped(id), escaped(author), escaped(path), escaped(value));
        state.apply(1, 0, Entries.raw(text));
        assertThat(ConfigState.ofSnapshot(state.snapshot()).orElseThrow().digest())
                .isEqualTo(state.digest());
    }

    @Provide
    Arbitrary<List<byte[]>> logs() {
        return entries().list().ofMaxSize(40);
    }

    private static Arbitrary<byte[]> entries() {
        Arbitrary<String> ids = Arbitraries.integers().between(0, 60).map(i -> "id-" + i);
        Arbitrary<Long> versions = Arbitraries.longs().between(-1, 12);
        Arbitrary<String> values =
                Arbitraries.of("1", "2.50", "-1", "0", "\"x\"", "true", "[]", "1e999", "7");
        Arbitrary<byte[]> sets = Combinators.combine(ids, paths(), values).as(Entries::set);
        Arbitrary<byte[]> conditionalSets =
                Combinators.combine(ids, paths(), versions, values)
                        .as((id, p, v, json) -> Entries.set(id, Map.of(p, v), Map.of(p, json)));
        Arbitrary<byte[]> removals = Combinators.combine(ids, paths()).as(Entries::unset);
        Arbitrary<byte[]> replacements =
                Combinators.combine(ids, versions, paths())
                        .as((id, v, p) -> Entries.replace(id, Math.max(0, v), p, "1"));
        Arbitrary<byte[]> malformed =
                Arbitraries.of("", "{", "null", "{\"id\":\"id-3\"}").map(Entries::raw);
        return Arbitraries.oneOf(sets, sets, conditionalSets, removals, malformed, replacements);
    }

    private static Arbitrary<String> paths() {
        List<String> paths = new ArrayList<>(List.of("teams", "fleet/targets/m/max-concurrent"));
        for (String team : List.of("a", "b")) {
            paths.add("teams/" + team + "/weight");
            for (String workspace : List.of("x", "y")) {
                paths.add("teams/" + team + "/workspaces/" + workspace);
                paths.add("teams/" + team + "/workspaces/" + workspace + "/weight");
                paths.add("teams/" + team + "/workspaces/" + workspace + "/max-queued");
            }
        }
        return Arbitraries.of(paths);
    }

    /** Writes a text as JSON escapes, so that unpaired surrogates can be expressed. */
    private static String escaped(String text) {
        StringBuilder escaped = new StringBuilder();
        text.chars().forEach(unit -> escaped.append(String.format("\\u%04x", unit)));
        return escaped.toString();
    }
}
