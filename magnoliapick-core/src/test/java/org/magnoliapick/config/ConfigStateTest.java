package org.magnoliapick.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnoliapick.lib.RequestClass;
import org.magnoliapick.lib.TargetKind;
import org.magnoliapick.lib.WorkspaceId;

final class ConfigStateTest {
    private static final String CAFE = "teams/muscat/workspaces/cafe";
    private static final String HASH = KeyHash.of("key");

    private final ConfigState mState = new ConfigState();
    private long mNextOffset;

    @Test
    void acceptedEntryTakesEffectAtItsOffset() {
        ApplyResult result = apply(Entries.set("a", CAFE + "/weight", "2"));

        assertThat(result).isEqualTo(new ApplyResult.Accepted(0, List.of(CAFE + "/weight")));
        WorkspaceConfig cafe = mState.view().workspace(new WorkspaceId("cafe")).orElseThrow();
        assertThat(cafe.weight()).isEqualTo(2.0);
        assertThat(cafe.team()).isEqualTo("muscat");
        assertThat(mState.view().offset()).isEqualTo(0);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "teams/a/weight | 0 | above 0",
                "teams/a/weight | -1 | above 0",
                "teams/a/weight | 1e999 | above 0",
                "teams/a/weight | \"NaN\" | above 0",
                "teams/a/weight | true | above 0",
                "teams/a/workspaces/b/max-queued | 1.5 | whole number",
                "teams/a/workspaces/b/max-queued | 99999999999999999999 | whole number",
                "teams/a/workspaces/b/keys/k/sha256 | \"XYZ\" | hexadecimal",
                "teams/a/workspaces/b/objectives/urgent/success-ratio | 1 | below 1",
                "teams/a/workspaces/b/objectives/later/latency-ms | 5 | no known path",
                "teams/a/operators/o/role | \"king\" | administer",
                "fleet/targets/t/kind | \"Model\" | model or service",
                "fleet/orders/t/adapters | [\"x\",\"x\"] | different names",
                "fleet/upstreams/u/drain | \"yes\" | true or false",
                "teams//weight | 1 | no known path",
                "teams/a/../weight | 1 | no known path",
                "teams | 1 | no known path",
            })
    void invalidValueIsRejectedWithPathAndAllowedValues(String path, String json, String allowed) {
        ApplyResult result = apply(Entries.set("a", path, json));

        RejectedEntry rejected = result.rejection().orElseThrow();
        assertThat(rejected.path()).contains(path);
        assertThat(rejected.fault().reason()).contains(path).contains(allowed);
        assertThat(mState.subtree("")).isEmpty();
        assertThat(mState.rejected()).containsExactly(rejected);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "nonsense",
                "[]",
                "{}",
                "{\"id\":\"a\",\"author\":\"b\"}",
                "{\"id\":\"a\",\"author\":\"b\",\"set\":[1]}",
                "{\"id\":\"a\",\"author\":\"b\",\"unset\":[1]}",
                "{\"id\":\"a\",\"author\":\"b\",\"expect\":{\"x\":\"1\"}}",
                "{\"id\":\"a\",\"id\":\"b\",\"author\":\"b\",\"set\":{\"teams/a/weight\":1}}",
                "{\"id\":\"a\",\"author\":\"b\",\"set\":{\"teams/a/weight\":1},\"more\":1}",
                "{\"id\":\"a\",\"author\":\"b\",\"set\":{\"teams/a/weight\":NaN}}",
                "{\"id\":\"a\",\"author\":\"b\",\"set\":{\"teams/a/weight\":1}} {}",
            })
    void malformedEntryIsRejected(String text) {
        assertThat(apply(Entries.raw(text)).rejection()).isPresent();
        assertThat(mState.offset()).isEqualTo(0);
        assertThat(mState.subtree("")).isEmpty();
    }

    @Test
    void onlyFirstOfTwoConflictingChangesIsAccepted() {
        apply(Entries.set("a", CAFE + "/weight", "1"));
        Map<String, Long> expect = Map.of(CAFE, 0L);
        ApplyResult first = apply(Entries.set("b", expect, Map.of(CAFE + "/weight", "2")));
        ApplyResult second = apply(Entries.set("c", expect, Map.of(CAFE + "/max-queued", "9")));

        assertThat(first).isInstanceOf(ApplyResult.Accepted.class);
        EntryFault fault = second.rejection().orElseThrow().fault();
        assertThat(fault.kind()).isEqualTo(EntryFault.Kind.CONFLICT);
        assertThat(fault.currentVersion()).isEqualTo(1);
        assertThat(mState.subtree(CAFE)).hasSize(1);
    }

    @Test
    void versionOfSubtreeIncludesRemovals() {
        apply(Entries.set("a", Map.of(), Map.of(CAFE + "/weight", "1", CAFE + "/max-queued", "5")));
        apply(Entries.unset("b", CAFE + "/weight"));

        assertThat(mState.version(CAFE)).isEqualTo(1);
        assertThat(mState.version(CAFE + "/weight")).isEqualTo(-1);
        apply(Entries.unset("c", CAFE));
        assertThat(mState.version("teams/muscat")).isEqualTo(-1);
        assertThat(mState.version("")).isEqualTo(2);
    }

    @Test
    void entryIsAppliedAtomically() {
        apply(Entries.set("a", CAFE + "/keys/k1/sha256", '"' + HASH + '"'));
        String before = settingsAndVersions();
        Map<String, String> withDuplicateKeyHash =
                Map.of("teams/a/weight", "1", "teams/b/operators/o/sha256", '"' + HASH + '"');
        ApplyResult result = apply(Entries.set("b", Map.of(), withDuplicateKeyHash));

        assertThat(result.rejection()).isPresent();
        assertThat(settingsAndVersions()).isEqualTo(before);
    }

    @Test
    void workspaceNameIsUniqueAcrossTeams() {
        apply(Entries.set("a", CAFE + "/weight", "1"));
        String other = "teams/seeb/workspaces/cafe/weight";
        assertThat(apply(Entries.set("b", other, "1")).rejection()).isPresent();
        apply(Entries.unset("c", CAFE));
        assertThat(apply(Entries.set("d", other, "1")).rejection()).isEmpty();
    }

    @Test
    void repeatedEntryIsAppliedOnce() {
        byte[] entry = Entries.set("a", CAFE + "/weight", "1");
        apply(entry);
        ApplyResult again = apply(entry);

        assertThat(again.rejection().orElseThrow().fault().kind())
                .isEqualTo(EntryFault.Kind.REPEATED);
        assertThat(mState.version(CAFE)).isEqualTo(0);
        assertThat(mState.outcomeOf("a").orElseThrow()).isInstanceOf(ApplyResult.Accepted.class);
    }

    @Test
    void validateDoesNotChangeTheState() {
        apply(Entries.set("a", CAFE + "/weight", "1"));
        String digest = mState.digest();
        ConfigEntry entry =
                new ConfigEntry("b", "noor", "", Map.of(), Map.of(), List.of("teams/muscat"), -1);

        assertThat(mState.validate(entry)).isEqualTo(Optional.empty());
        assertThat(mState.digest()).isEqualTo(digest);
    }

    @Test
    void replacementGivesTheSameStateWithAndWithoutEarlierEntries() {
        apply(Entries.set("a", CAFE + "/weight", "1"));
        byte[] replacement = Entries.replace("r", 5, "teams/seeb/weight", "3");
        ConfigState withoutEarlier = new ConfigState();
        mState.apply(7, 0, replacement);
        withoutEarlier.apply(7, 0, replacement);

        assertThat(mState.digest()).isEqualTo(withoutEarlier.digest());
        assertThat(mState.view().teamWeight("seeb")).isEqualTo(3.0);
        byte[] late = Entries.replace("s", 6, "teams/seeb/weight", "9");
        assertThat(mState.apply(8, 0, late).rejection()).isPresent();
    }

    @Test
    void viewContainsObjectivesOrdersOperatorsAndDrainingUpstreams() {
        apply(Entries.set("a", CAFE + "/objectives/urgent/latency-ms", "900"));
        apply(Entries.set("b", "fleet/orders/lettering/version", "\"v2\""));
        apply(Entries.set("c", "fleet/operators/noor/sha256", '"' + HASH + '"'));
        apply(Entries.set("d", "fleet/upstreams/e1/drain", "true"));
        apply(Entries.set("e", "fleet/targets/orders/kind", "\"service\""));

        FleetConfig view = mState.view();
        assertThat(view.objective(new WorkspaceId("cafe"), RequestClass.URGENT).orElseThrow())
                .isEqualTo(
                        new Objective(Optional.of(900L), Optional.empty(), Optional.empty(), 0.95));
        assertThat(view.orders().get("lettering").changedAtOffset()).isEqualTo(1);
        assertThat(view.operators())
                .containsExactly(new OperatorConfig("noor", Optional.empty(), HASH, Role.READ));
        assertThat(view.draining()).containsExactly("e1");
        assertThat(view.targets().get("orders").kind()).isEqualTo(TargetKind.SERVICE);
    }

    private ApplyResult apply(byte[] entry) {
        return mState.apply(mNextOffset++, 1_000, entry);
    }

    private String settingsAndVersions() {
        return mState.subtree("").toString() + mState.innerVersions();
    }
}
