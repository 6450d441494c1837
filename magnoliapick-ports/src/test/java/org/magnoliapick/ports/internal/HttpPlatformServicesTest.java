package org.magnoliapick.ports.internal;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.magnoliapick.ports.AppendResult;
import org.magnoliapick.ports.Endpoint;
import org.magnoliapick.ports.ListedMember;
import org.magnoliapick.ports.LogPage;
import org.magnoliapick.ports.Platform;
import org.magnoliapick.ports.PlatformSettings;
import org.magnoliapick.standin.Fault;
import org.magnoliapick.standin.ListOptions;
import org.magnoliapick.standin.ListStandin;
import org.magnoliapick.standin.LogOptions;
import org.magnoliapick.standin.LogStandin;
import org.magnoliapick.standin.WeightsStandin;

final class HttpPlatformServicesTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final Duration SHORT = Duration.ofMillis(150);

    private final AtomicLong mPlatformMillis = new AtomicLong(1_000_000);
    private final LogStandin mLog =
            LogStandin.start(
                    new LogOptions()
                            .setNowMillis(mPlatformMillis::get)
                            .setRetentionMillis(60_000)
                            .setAppendsPerSecond(3));
    private final ListStandin mList =
            ListStandin.start(
                    new ListOptions().setNowMillis(mPlatformMillis::get).setLagMillis(500));
    private final WeightsStandin mWeights = WeightsStandin.start("127.0.0.1", 0, 16, 4);
    private final Platform mPlatform =
            Platform.http(
                    PlatformSettings.of(at(mLog.port()), at(mList.port()), at(mWeights.port())),
                    System::currentTimeMillis);

    private static Endpoint at(int port) {
        return new Endpoint("127.0.0.1", port);
    }

    @AfterEach
    void closeAll() {
        mPlatform.close();
        mLog.close();
        mList.close();
        mWeights.close();
    }

    private AppendResult append(String payload) {
        byte[] bytes = payload.getBytes(StandardCharsets.UTF_8);
        return mPlatform.logService().append("config", bytes, TIMEOUT);
    }

    private Optional<LogPage> read(long from) {
        return mPlatform.logService().read("config", from, 10, Duration.ZERO);
    }

    @Test
    void readsBackWhatWasAppended() {
        assertThat(append("雪")).isEqualTo(new AppendResult.Appended(0));
        assertThat(append("قهوة")).isEqualTo(new AppendResult.Appended(1));

        LogPage page = read(0).orElseThrow();

        assertThat(page.entries()).hasSize(2);
        assertThat(page.entries().get(1).payload())
                .isEqualTo("قهوة".getBytes(StandardCharsets.UTF_8));
        assertThat(page.endOffset()).isEqualTo(2);
    }

    @Test
    void startsAtTheLowestKeptOffset() {
        append("old");
        mPlatformMillis.addAndGet(61_000);
        append("new");

        LogPage page = read(0).orElseThrow();

        assertThat(page.firstKeptOffset()).isEqualTo(1);
        assertThat(page.entries()).hasSize(1);
    }

    @Test
    void readReturnsWhenAnEntryComesWhileItWaits() {
        Thread appender = new Thread(() -> mLog.append("config", new byte[] {1}));
        appender.start();

        LogPage page = mPlatform.logService().read("config", 0, 10, TIMEOUT).orElseThrow();

        assertThat(page.entries()).hasSize(1);
    }

    @Test
    void tellsRefusedAppendsFromLostAnswers() {
        mLog.faults().set(Fault.OUTAGE, 1);
        assertThat(append("refused")).isInstanceOf(AppendResult.Refused.class);
        assertThat(read(0).orElseThrow().endOffset()).isZero();

        mLog.faults().set(Fault.LOST_ANSWER, 1, "POST");
        assertThat(append("taken")).isInstanceOf(AppendResult.Unknown.class);
        assertThat(read(0).orElseThrow().endOffset()).isEqualTo(1);
    }

    @Test
    void tellsAppendsOverTheRateAsRefused() {
        for (int i = 0; i < 3; i++) {
            assertThat(append("taken")).isInstanceOf(AppendResult.Appended.class);
        }

        assertThat(append("refused")).isInstanceOf(AppendResult.Refused.class);
    }

    @ParameterizedTest
    @EnumSource(
            value = Fault.class,
            names = {"CUT_BEFORE_HEAD", "HALF_ANSWER", "MALFORMED", "WRONG_TYPE", "OVERLONG"})
    void brokenAnswersAreUnknownAppendsAndNoPagesOrLists(Fault fault) {
        mLog.faults().set(fault, 2);
        assertThat(append("x")).isInstanceOf(AppendResult.Unknown.class);
        assertThat(read(0)).isEmpty();
        mList.faults().set(fault, 1);
        assertThat(mPlatform.instanceList().fetch(TIMEOUT)).isEmpty();
        mWeights.faults().set(fault, 1);
        assertThat(mPlatform.weightStore().rateBytesPerSecond(TIMEOUT)).isEmpty();
    }

    @Test
    void aStalledLogLeavesAnAppendUnknownAtTheDeadline() {
        mLog.faults().set(Fault.STALL, 1);

        AppendResult result = mPlatform.logService().append("config", new byte[] {1}, SHORT);

        assertThat(result).isInstanceOf(AppendResult.Unknown.class);
    }

    @Test
    void listsMembersLateAndMarksThemAsLeaving() {
        ListedMember member =
                new ListedMember(
                        "engine-1",
                        ListedMember.Role.MODEL_ENGINE,
                        "fukuoka-a",
                        "127.0.0.1",
                        18200,
                        0,
                        Set.of("gift-writer"),
                        false);
        assertThat(mPlatform.instanceList().fetch(TIMEOUT)).contains(List.of());
        assertThat(mPlatform.instanceList().register(member, TIMEOUT)).isTrue();
        assertThat(mPlatform.instanceList().fetch(TIMEOUT)).contains(List.of());

        mPlatformMillis.addAndGet(500);
        assertThat(mPlatform.instanceList().fetch(TIMEOUT)).contains(List.of(member));

        mList.markLeaving("engine-1");
        mPlatformMillis.addAndGet(500);
        assertThat(mPlatform.instanceList().fetch(TIMEOUT).orElseThrow().get(0).leaving()).isTrue();

        mPlatformMillis.addAndGet(20_000);
        assertThat(mPlatform.instanceList().fetch(TIMEOUT)).contains(List.of());
    }

    @Test
    void readsSizesAndRateOfWeights() {
        assertThat(mPlatform.weightStore().sizeBytes("gift-writer@1", TIMEOUT)).contains(16L);
        assertThat(mPlatform.weightStore().rateBytesPerSecond(TIMEOUT)).contains(4L);
    }
}
