package org.magnoliapick.proof;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.config.ApplyResult;
import org.magnoliapick.config.ConfigEntry;
import org.magnoliapick.config.ConfigState;

/** Faults at the steps of a change of the configuration. */
final class ConfigScenario implements FaultScenario {
    /** Where a change stands. */
    enum ConfigStep {
        /** Made by an operator, not yet appended. */
        PROPOSED,
        /** In the log; no instance has read it. */
        APPENDED,
        /** In force on one instance. */
        IN_FORCE_AT_ONE,
        /** In force on every instance. */
        IN_FORCE,
        /** Only in a snapshot: the log no longer keeps the entry. */
        SNAPSHOT
    }

    private static final String PATH = "teams/gifts/weight";
    private static final String UNREADABLE_ENTRY = "{\"reason\":";
    private static final int FLOOD_ENTRIES = 20;
    private static final int KEPT_ENTRIES = 5;
    private static final int ROUNDS = 5;

    private final FakeLog mLog = new FakeLog();
    private final List<Reader> mReaders = List.of(new Reader(), new Reader(), new Reader());
    private final Map<Long, String> mDigests = new HashMap<>();
    private final Map<Fault, Runnable> mStrikes = new EnumMap<>(Fault.class);
    private final List<byte[]> mToAppend = new ArrayList<>();
    private boolean mRepeats;

    ConfigScenario() {
        mStrikes.put(Fault.PARTITION, () -> mReaders.get(0).mCutOff = true);
        mStrikes.put(Fault.RESTART, () -> mReaders.get(0).restart());
        mStrikes.put(Fault.FLOOD, this::flood);
        mStrikes.put(Fault.LOG_OUT, () -> mLog.setMode(FakeLog.Mode.OUT, 0));
        mStrikes.put(Fault.LOG_SLOW, () -> mLog.setMode(FakeLog.Mode.SLOW, 0));
        mStrikes.put(Fault.APPEND_ANSWER_LOST, () -> mLog.setMode(FakeLog.Mode.ANSWER_LOST, 0));
        mStrikes.put(Fault.PAUSE, this::pauseBeyondRetention);
        mStrikes.put(Fault.OPERATORS_RACE, () -> mToAppend.add(change("rival", 7).encode()));
        mStrikes.put(Fault.REPEATED, () -> mRepeats = true);
    }

    @Override
    public void check(Enum<?> step, List<Fault> faults) {
        drive((ConfigStep) step);
        for (Fault fault : faults) {
            Runnable strike = mStrikes.get(fault);
            assertThat(strike).as("cell for " + fault).isNotNull();
            strike.run();
            turn();
        }
        mLog.setMode(FakeLog.Mode.UP, 0);
        mRepeats = false;
        mReaders.forEach(reader -> reader.mCutOff = false);
        for (int i = 0; i < ROUNDS; i++) {
            turn();
        }
        checkAgreement(faults);
    }

    private void drive(ConfigStep step) {
        mToAppend.add(UNREADABLE_ENTRY.getBytes(StandardCharsets.UTF_8));
        mToAppend.add(change("first", 3).encode());
        if (step.compareTo(ConfigStep.APPENDED) >= 0) {
            appendAll();
        }
        if (step.compareTo(ConfigStep.IN_FORCE_AT_ONE) >= 0) {
            mReaders.get(0).read();
        }
        if (step.compareTo(ConfigStep.IN_FORCE) >= 0) {
            mReaders.forEach(Reader::read);
        }
        if (step == ConfigStep.SNAPSHOT) {
            flood();
            turn();
            mLog.retain(0);
        }
    }

    private void turn() {
        appendAll();
        mReaders.forEach(Reader::read);
    }

    /** Appends again, under the same identifier, what got no answer. */
    private void appendAll() {
        mToAppend.removeIf(entry -> mLog.append(entry, 0) == FakeLog.Answer.APPENDED);
    }

    private void flood() {
        for (int i = 0; i < FLOOD_ENTRIES; i++) {
            String id = "flood-" + mToAppend.size() + "-" + mLog.end() + "-" + i;
            String path = "teams/other/workspaces/w" + i + "/weight";
            mToAppend.add(entry(id, Map.of(), path, 2).encode());
        }
    }

    /** One instance reads nothing while the log forgets what it has not read. */
    private void pauseBeyondRetention() {
        mReaders.get(0).mCutOff = true;
        flood();
        turn();
        mLog.retain(KEPT_ENTRIES);
    }

    private static ConfigEntry change(String id, int weight) {
        return entry(id, Map.of(PATH, -1L), PATH, weight);
    }

    private static ConfigEntry entry(String id, Map<String, Long> expect, String path, int weight) {
        return new ConfigEntry(
                id,
                "operator",
                "proof",
                expect,
                Map.of(path, JsonNodeFactory.instance.numberNode(weight)),
                List.of(),
                -1);
    }

    private void checkAgreement(List<Fault> faults) {
        ConfigState reference = mReaders.get(1).mState;
        for (Reader reader : mReaders) {
            assertThat(reader.mState.offset()).as("offset").isEqualTo(reference.offset());
            assertThat(reader.mState.digest()).as("digest").isEqualTo(reference.digest());
        }
        boolean firstWon =
                reference
                        .outcomeOf("first")
                        .filter(ApplyResult.Accepted.class::isInstance)
                        .isPresent();
        boolean rivalWon =
                reference
                        .outcomeOf("rival")
                        .filter(ApplyResult.Accepted.class::isInstance)
                        .isPresent();
        assertThat(firstWon ^ rivalWon).as("exactly one change won").isTrue();
        if (faults.contains(Fault.OPERATORS_RACE)) {
            assertThat(reference.outcomeOf(firstWon ? "rival" : "first"))
                    .as("the loser is told")
                    .containsInstanceOf(ApplyResult.Rejected.class);
        }
        assertThat(reference.subtree(PATH)).as("the change is in force").hasSize(1);
    }

    /** One instance: it reads the log, and asks its peers for a state where the log has a gap. */
    private final class Reader {
        private ConfigState mState = new ConfigState();
        private boolean mCutOff;

        void restart() {
            mState = new ConfigState();
        }

        void read() {
            if (mCutOff || !mLog.isReadable()) {
                return;
            }
            long before = mState.offset();
            if (mLog.firstKept() > mState.offset() + 1) {
                highestOfPeers().ifPresent(state -> mState = state);
            }
            for (FakeLog.Entry entry : mLog.read(mState.offset() + 1)) {
                apply(entry);
            }
            assertThat(mState.offset()).as("never a step back").isGreaterThanOrEqualTo(before);
        }

        private void apply(FakeLog.Entry entry) {
            assertThat(entry.offset()).as("no gap").isEqualTo(mState.offset() + 1);
            mState.apply(entry.offset(), entry.atMillis(), entry.payload());
            if (mRepeats && mReaders.get(0) == this) {
                mState.apply(entry.offset(), entry.atMillis(), entry.payload());
            }
            String known = mDigests.putIfAbsent(mState.offset(), mState.digest());
            assertThat(mState.digest())
                    .as("same offset, same state")
                    .isEqualTo(known == null ? mState.digest() : known);
        }

        private Optional<ConfigState> highestOfPeers() {
            return mReaders.stream()
                    .filter(reader -> !reader.mCutOff)
                    .map(reader -> reader.mState)
                    .filter(state -> state.offset() > mState.offset())
                    .max((one, other) -> Long.compare(one.offset(), other.offset()))
                    .flatMap(state -> ConfigState.ofSnapshot(state.snapshot()));
        }
    }
}
