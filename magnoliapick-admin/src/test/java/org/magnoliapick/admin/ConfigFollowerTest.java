package org.magnoliapick.admin;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.LongNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.magnoliapick.admin.ConfigFollower.StepResult;
import org.magnoliapick.config.ConfigState;
import org.magnoliapick.config.FleetConfig;

final class ConfigFollowerTest {
    private static final Duration RETENTION = Duration.ofMinutes(30);
    private static final String WEIGHT = "teams/muscat/weight";

    private final FakeLogService mLog = new FakeLogService();
    private long mNowMillis;
    private final ConfigFollower mFirst = follower("router-1", SnapshotSource.NONE);
    private final ConfigFollower mSecond = follower("router-2", SnapshotSource.NONE);

    @Test
    void emptyLogIsEnoughToServeUnder() {
        assertThat(mFirst.isReady()).isFalse();
        mFirst.step();
        assertThat(mFirst.isReady()).isTrue();
        assertThat(mFirst.config()).isEqualTo(FleetConfig.EMPTY);
    }

    @Test
    void instanceWithoutStateIsNotReadyWhileTheLogIsOut() {
        mLog.setOut(true);
        assertThat(mFirst.step()).isEqualTo(StepResult.LOG_UNAVAILABLE);
        assertThat(mFirst.isReady()).isFalse();
    }

    @Test
    void instanceWithoutStateStartsFromPeersWhileTheLogIsOut() {
        setWeight(mFirst, 2);
        mLog.setOut(true);
        ConfigFollower third = follower("router-3", () -> List.of(snapshot(mFirst)));
        third.step();
        assertThat(third.isReady()).isTrue();
        assertThat(third.config().teamWeight("muscat")).isEqualTo(2);
    }

    @Test
    void everyInstanceHoldsTheSameStateAtTheSameOffset() {
        setWeight(mFirst, 2);
        mLog.append(ConfigFollower.STREAM, "bad".getBytes(StandardCharsets.UTF_8), RETENTION);
        setWeight(mSecond, 3);
        mFirst.step();
        mSecond.step();
        assertThat(digest(mFirst)).isEqualTo(digest(mSecond));
        assertThat(mFirst.read(ConfigState::rejected)).hasSize(1);
    }

    @Test
    void listenersHearOfGrowingOffsetsOnly() {
        List<Long> offsets = new ArrayList<>();
        mFirst.addListener(config -> offsets.add(config.offset()));
        setWeight(mFirst, 2);
        mFirst.step();
        setWeight(mFirst, 3);
        mFirst.step();
        assertThat(offsets).isSorted().doesNotHaveDuplicates().endsWith(1L);
    }

    @Test
    void stateSurvivesAnOutage() {
        setWeight(mFirst, 2);
        mLog.setOut(true);
        assertThat(mFirst.step()).isEqualTo(StepResult.LOG_UNAVAILABLE);
        assertThat(mFirst.isReady()).isTrue();
        assertThat(mFirst.config().teamWeight("muscat")).isEqualTo(2);
    }

    @Test
    void snapshotIsAppendedOncePerThirdOfRetention() {
        setWeight(mFirst, 2);
        mFirst.step();
        mSecond.step();
        assertThat(mLog.end(SnapshotStream.STREAM)).isEqualTo(1);
        pass(Duration.ofMinutes(9));
        mFirst.step();
        mSecond.step();
        assertThat(mLog.end(SnapshotStream.STREAM)).isEqualTo(1);
        pass(Duration.ofMinutes(3));
        mFirst.step();
        mSecond.step();
        assertThat(mLog.end(SnapshotStream.STREAM)).isEqualTo(2);
    }

    @Test
    void instanceWithoutStateStartsFromSnapshotsWhenEntriesAreForgotten() {
        setWeight(mFirst, 2);
        mFirst.step();
        mLog.forgetBefore(ConfigFollower.STREAM, 1);
        mSecond.step();
        assertThat(digest(mSecond)).isEqualTo(digest(mFirst));
        assertThat(mSecond.isReady()).isTrue();
    }

    @Test
    void afterAnOutageLongerThanRetentionTheStateIsPublishedAgain() {
        setWeight(mFirst, 2);
        mFirst.step();
        mLog.setOut(true);
        pass(RETENTION.multipliedBy(2));
        mFirst.step();
        mLog.forgetBefore(ConfigFollower.STREAM, 1);
        mLog.forgetBefore(SnapshotStream.STREAM, 1);
        mLog.setOut(false);
        mFirst.step();
        mSecond.step();
        assertThat(digest(mSecond)).isEqualTo(digest(mFirst));
    }

    @Test
    void snapshotOlderThanTheOwnStateIsNotTaken() {
        setWeight(mFirst, 2);
        byte[] old = snapshot(mFirst);
        setWeight(mFirst, 3);
        ConfigFollower third = follower("router-3", () -> List.of(old));
        third.step();
        assertThat(third.config().teamWeight("muscat")).isEqualTo(3);
        mLog.append(SnapshotStream.STREAM, old, RETENTION);
        third.step();
        assertThat(third.config().offset()).isEqualTo(1);
    }

    @Test
    void missedEntriesComeFromPeers() {
        ConfigFollower third = follower("router-3", () -> List.of(snapshot(mFirst)));
        setWeight(mFirst, 2);
        third.step();
        setWeight(mFirst, 3);
        mLog.forgetBefore(ConfigFollower.STREAM, 2);
        assertThat(third.step()).isEqualTo(StepResult.ADVANCED);
        assertThat(digest(third)).isEqualTo(digest(mFirst));
    }

    @Test
    void missedEntriesThatNobodyKnowsEndInOneReplacementForAll() {
        setWeight(mFirst, 2);
        mFirst.step();
        mSecond.step();
        mLog.append(ConfigFollower.STREAM, new byte[0], RETENTION);
        mLog.append(ConfigFollower.STREAM, new byte[0], RETENTION);
        mLog.forgetBefore(ConfigFollower.STREAM, 2);
        assertThat(mFirst.step()).isEqualTo(StepResult.GAP);
        assertThat(mSecond.step()).isEqualTo(StepResult.GAP);
        assertThat(mFirst.config().teamWeight("muscat")).isEqualTo(2);
        pass(Duration.ofMinutes(1));
        for (int i = 0; i < 3; i++) {
            mFirst.step();
            mSecond.step();
        }
        assertThat(mFirst.lastStep()).isEqualTo(StepResult.CURRENT);
        assertThat(digest(mFirst)).isEqualTo(digest(mSecond));
        assertThat(mLog.end(ConfigFollower.STREAM)).isEqualTo(4);
        assertThat(mSecond.config().teamWeight("muscat")).isEqualTo(2);
    }

    @Test
    void changeIsAcceptedOnlyAfterReadingItBack() {
        ChangeCommand change = change(mFirst).set(WEIGHT, DoubleNode.valueOf(2));
        assertThat(change.setTimeout(Duration.ZERO).call())
                .isInstanceOf(ChangeResult.Unknown.class);
        mFirst.step();
        assertThat(change.ask()).isEqualTo(new ChangeResult.Accepted(0));
    }

    @Test
    void lostAppendAnswerIsDecidedByReadingBack() {
        mLog.afterAppend(mFirst::step);
        mLog.loseNextAnswer();
        ChangeCommand change = change(mFirst).setToken("t").set(WEIGHT, DoubleNode.valueOf(2));
        assertThat(change.call()).isEqualTo(new ChangeResult.Accepted(0));
        assertThat(change.call()).isEqualTo(new ChangeResult.Accepted(0));
        assertThat(mLog.end(ConfigFollower.STREAM)).isEqualTo(1);
    }

    @Test
    void changeIsNotAcceptedWhileTheLogIsOut() {
        mLog.setOut(true);
        ChangeResult result = change(mFirst).set(WEIGHT, DoubleNode.valueOf(2)).call();
        assertThat(result).isInstanceOf(ChangeResult.LogUnavailable.class);
    }

    @Test
    void loserOfRaceIsToldTheCurrentVersion() {
        setWeight(mFirst, 2);
        mSecond.step();
        mLog.afterAppend(
                () -> {
                    mFirst.step();
                    mSecond.step();
                });
        ChangeResult winner =
                change(mFirst).expect(WEIGHT, 0).set(WEIGHT, DoubleNode.valueOf(3)).call();
        ChangeResult loser =
                change(mSecond).expect(WEIGHT, 0).set(WEIGHT, DoubleNode.valueOf(4)).call();
        assertThat(winner).isEqualTo(new ChangeResult.Accepted(1));
        assertThat(loser).isInstanceOf(ChangeResult.Conflict.class);
        assertThat(((ChangeResult.Conflict) loser).currentVersion()).isEqualTo(1);
    }

    @Test
    void faultyChangeIsNotAppended() {
        mFirst.step();
        ChangeResult result = change(mFirst).set(WEIGHT, LongNode.valueOf(-1)).call();
        assertThat(result).isInstanceOf(ChangeResult.Rejected.class);
        assertThat(mLog.end(ConfigFollower.STREAM)).isZero();
    }

    private void setWeight(ConfigFollower through, double weight) {
        mLog.afterAppend(through::step);
        ChangeResult result = change(through).set(WEIGHT, DoubleNode.valueOf(weight)).call();
        mLog.afterAppend(() -> {});
        assertThat(result).isInstanceOf(ChangeResult.Accepted.class);
    }

    private ChangeCommand change(ConfigFollower through) {
        return new ChangeCommand(mLog, through)
                .setAuthor("noor")
                .setReason("test")
                .setTimeout(Duration.ZERO);
    }

    private void pass(Duration time) {
        mNowMillis += time.toMillis();
        mLog.setNowMillis(mNowMillis);
    }

    private ConfigFollower follower(String name, SnapshotSource peers) {
        return new ConfigFollower(
                mLog,
                peers,
                () -> Instant.ofEpochMilli(mNowMillis),
                FollowerOptions.of(name, RETENTION));
    }

    private static byte[] snapshot(ConfigFollower follower) {
        return follower.read(ConfigState::snapshot);
    }

    private static String digest(ConfigFollower follower) {
        return follower.read(ConfigState::digest);
    }
}
