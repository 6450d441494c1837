package org.magnoliapick.rpc;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.UpstreamIncarnation;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.limit.ColdStatement;
import org.magnoliapick.limit.ColdUpdate;
import org.magnoliapick.limit.PauseUpdate;
import org.magnoliapick.limit.RateLimit;
import org.magnoliapick.limit.RateLimitUpdate;
import org.magnoliapick.limit.UpstreamPause;
import org.magnoliapick.member.Member;
import org.magnoliapick.member.StorePosition;
import org.magnoliapick.member.StoreUpdate;
import org.magnoliapick.member.UpdateSubject;
import org.magnoliapick.member.UpstreamChange;
import org.magnoliapick.pool.DomainEvacuation;
import org.magnoliapick.pool.EvacuationUpdate;
import org.magnoliapick.pool.InstancePacket;
import org.magnoliapick.pool.InstanceReport;
import org.magnoliapick.pool.LeavingUpdate;
import org.magnoliapick.pool.LeavingUpstream;
import org.magnoliapick.pool.PoolCause;
import org.magnoliapick.pool.PoolDecision;
import org.magnoliapick.pool.PoolJob;
import org.magnoliapick.pool.PoolMessage;
import org.magnoliapick.pool.PoolUse;
import org.magnoliapick.pool.UpstreamNotices;
import org.magnoliapick.pool.UpstreamUse;
import org.magnoliapick.quarantine.Sighting;
import org.magnoliapick.quarantine.SuspectKey;
import org.magnoliapick.quarantine.SuspectReport;
import org.magnoliapick.quarantine.SuspectUpdate;
import org.magnoliapick.relay.Fingerprint;
import org.magnoliapick.relay.Prompt;
import org.magnoliapick.relay.PromptPart;
import org.magnoliapick.rpc.gen.UsePacket;

final class UsePacketCodecTest {
    private static final InstanceId FROM = new InstanceId("from");
    private static final InstanceId TO = new InstanceId("to");

    private static PoolJob job() {
        return new PoolJob(
                "id",
                "s",
                new WorkspaceId("w"),
                new FailureDomain("a"),
                new Prompt(100, 20, List.of(new PromptPart("p", 50))),
                new Fingerprint(-5),
                300,
                1_300,
                true,
                Set.of(new UpstreamId("x")),
                Set.of(new UpstreamId("y")),
                true,
                2,
                1_000,
                Optional.of(FROM),
                77);
    }

    private static SuspectUpdate suspects() {
        Sighting crash =
                new Sighting(new UpstreamId("u"), 12, new TreeSet<>(Set.of("r", "q")), 900, false);
        Sighting refuted =
                new Sighting(new UpstreamId("v"), 13, new TreeSet<>(Set.of("p")), 800, true);
        Fingerprint fingerprint = new Fingerprint(-6);
        Sighting repeated =
                new Sighting(
                        new UpstreamId("u"),
                        12,
                        new TreeSet<>(Set.of(fingerprint.toString())),
                        900,
                        false);
        return new SuspectUpdate(
                14,
                List.of(
                        new SuspectReport(
                                new SuspectKey("s", SuspectKey.Kind.PART, "part"),
                                List.of(crash, refuted)),
                        new SuspectReport(
                                SuspectKey.fingerprint("s", fingerprint), List.of(repeated))));
    }

    private static RateLimitUpdate rateLimits() {
        return new RateLimitUpdate(
                15,
                List.of(
                        new RateLimit(new UpstreamId("u"), 12, OptionalDouble.of(6.3), 900),
                        new RateLimit(new UpstreamId("v"), 13, OptionalDouble.empty(), 800)));
    }

    private static UpstreamIncarnation incarnation(String upstream, long startedMillis) {
        return new UpstreamIncarnation(new UpstreamId(upstream), startedMillis);
    }

    private static UpstreamNotices notices() {
        return new UpstreamNotices(
                Optional.of(
                        new LeavingUpdate(
                                19,
                                List.of(
                                        new LeavingUpstream(incarnation("u", 12), 900),
                                        new LeavingUpstream(incarnation("v", 13), 800)))),
                Optional.of(
                        new PauseUpdate(
                                21, List.of(new UpstreamPause(incarnation("u", 12), 3_000)))),
                Optional.of(
                        new EvacuationUpdate(
                                23,
                                List.of(
                                        new DomainEvacuation(new FailureDomain("a"), true, 2, 7),
                                        new DomainEvacuation(
                                                new FailureDomain("b"), false, -1, 8)))),
                Optional.of(
                        new ColdUpdate(
                                23,
                                List.of(
                                        new ColdStatement(
                                                incarnation("u", 12),
                                                "s",
                                                900,
                                                OptionalLong.of(2_500)),
                                        new ColdStatement(
                                                incarnation("v", 13),
                                                "s",
                                                800,
                                                OptionalLong.empty())))));
    }

    private static InstancePacket packet() {
        PoolUse use =
                new PoolUse(
                        "s",
                        List.of(new UpstreamUse(new UpstreamId("u"), 3, 400, 5_000, 70, 12)),
                        Map.of(new WorkspaceId("w"), 9L),
                        11,
                        OptionalLong.of(4),
                        true);
        Member member = new Member(FROM, new FailureDomain("a"), "1:1", 1_500);
        UpstreamChange put = new UpstreamChange("k", ByteBuffer.wrap(new byte[] {1, 2}), 7, 40);
        UpstreamChange dropped = new UpstreamChange("l", ByteBuffer.allocate(0), 8, 50);
        return new InstancePacket(
                FROM,
                "1:1",
                Optional.of(
                        new InstanceReport(
                                member,
                                5,
                                6,
                                true,
                                true,
                                List.of(use),
                                -9,
                                new StorePosition(2, 10, 17),
                                Map.of(
                                        UpdateSubject.SUSPECTS,
                                        11L,
                                        UpdateSubject.RATE_LIMITS,
                                        13L,
                                        UpdateSubject.LEAVING,
                                        18L,
                                        UpdateSubject.PAUSES,
                                        20L,
                                        UpdateSubject.EVACUATIONS,
                                        22L,
                                        UpdateSubject.COLD,
                                        22L),
                                List.of(member))),
                Map.of("s", 8L),
                Optional.of(new StoreUpdate(2, 6, 9, 20, List.of(put, dropped), 3, 400)),
                Optional.of(suspects()),
                Optional.of(rateLimits()),
                notices(),
                List.of(
                        new PoolMessage.Query(TO, job()),
                        new PoolMessage.Reply(TO, "s", new PoolDecision.Queued(1)),
                        new PoolMessage.Reply(
                                TO,
                                "s",
                                new PoolDecision.Start(
                                        2, 3, new UpstreamId("u"), 4, 5, PoolCause.ROOM)),
                        new PoolMessage.Reply(
                                TO, "s", new PoolDecision.Refuse(6, PoolCause.TOO_LATE, 700)),
                        new PoolMessage.Withdrawal(TO, "s", 8)));
    }

    @Test
    void readsWhatItWrote() {
        byte[] bytes = UsePacketCodec.encode(packet(), 1_000);
        assertThat(UsePacketCodec.decode(bytes, TO, 1_000)).contains(packet());
    }

    /** Guards against instances of a former build that are not understood. */
    @Test
    void readsAPacketWithoutNotices() throws Exception {
        CompactBytes bytes = new CompactBytes(10_000);
        UsePacket message = bytes.read(new UsePacket(), UsePacketCodec.encode(packet(), 1_000));
        message.unsetLeaving();
        message.unsetPauses();
        message.unsetEvacuations();
        message.unsetCold();
        message.getReport().unsetLeavingVersion();
        message.getReport().unsetPausesVersion();
        message.getReport().unsetEvacuationsVersion();
        message.getReport().unsetColdVersion();
        InstancePacket read = UsePacketCodec.decode(bytes.write(message), TO, 1_000).orElseThrow();
        assertThat(read.notices()).isEqualTo(UpstreamNotices.NONE);
        assertThat(read.report().orElseThrow().knownVersions())
                .isEqualTo(Map.of(UpdateSubject.SUSPECTS, 11L, UpdateSubject.RATE_LIMITS, 13L));
        assertThat(read.messages()).isEqualTo(packet().messages());
    }

    @Property(tries = 300, seed = "3")
    void survivesAnyBytes(@ForAll byte[] bytes) {
        assertThat(UsePacketCodec.decode(bytes, TO, 0)).isNotNull();
    }

    @Test
    void survivesACutAnywhere() {
        byte[] bytes = UsePacketCodec.encode(packet(), 1_000);
        for (int length = 0; length < bytes.length; length++) {
            byte[] cut = java.util.Arrays.copyOf(bytes, length);
            assertThat(UsePacketCodec.decode(cut, TO, 1_000)).isNotNull();
        }
    }

    /** An instance with an older build sends no fingerprint. */
    @Test
    void readsAQueryWithoutAFingerprint() {
        PoolJob job = job();
        PoolJob withoutFingerprint =
                new PoolJob(
                        job.id(),
                        job.service(),
                        job.account(),
                        job.domain(),
                        job.prompt(),
                        Fingerprint.UNKNOWN,
                        job.objectiveMillis(),
                        job.dueMillis(),
                        job.callerRetry(),
                        job.excluded(),
                        job.unreachable(),
                        job.answerStarted(),
                        job.rank(),
                        job.submittedMillis(),
                        job.requester(),
                        job.queryId());
        InstancePacket packet =
                new InstancePacket(
                        FROM,
                        "1:1",
                        Optional.empty(),
                        Map.of(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        UpstreamNotices.NONE,
                        List.of(new PoolMessage.Query(TO, withoutFingerprint)));
        byte[] bytes = UsePacketCodec.encode(packet, 1_000);
        assertThat(UsePacketCodec.decode(bytes, TO, 1_000)).contains(packet);
    }
}
