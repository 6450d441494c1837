package org.magnoliapick.rpc;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.UpstreamIncarnation;
import org.magnoliapick.limit.ColdStatement;
import org.magnoliapick.limit.ColdUpdate;
import org.magnoliapick.limit.PauseUpdate;
import org.magnoliapick.limit.UpstreamPause;
import org.magnoliapick.pool.DomainEvacuation;
import org.magnoliapick.pool.EvacuationUpdate;
import org.magnoliapick.pool.LeavingUpdate;
import org.magnoliapick.pool.LeavingUpstream;
import org.magnoliapick.pool.UpstreamNotices;
import org.magnoliapick.rpc.gen.UseCold;
import org.magnoliapick.rpc.gen.UseColdUpstream;
import org.magnoliapick.rpc.gen.UseEvacuation;
import org.magnoliapick.rpc.gen.UseEvacuations;
import org.magnoliapick.rpc.gen.UseLeaving;
import org.magnoliapick.rpc.gen.UseLeavingUpstream;
import org.magnoliapick.rpc.gen.UsePacket;
import org.magnoliapick.rpc.gen.UsePause;
import org.magnoliapick.rpc.gen.UsePauses;

/**
 * Turns what upstreams stated about themselves, and the evacuated failure domains, into messages
 * and back; times travel as spans.
 */
final class NoticeCodec {
    private NoticeCodec() {}

    static void write(UpstreamNotices notices, UsePacket message, long nowMillis) {
        notices.leaving().ifPresent(each -> message.setLeaving(leaving(each, nowMillis)));
        notices.pauses().ifPresent(each -> message.setPauses(pauses(each, nowMillis)));
        notices.evacuations().ifPresent(each -> message.setEvacuations(evacuations(each)));
        notices.cold().ifPresent(each -> message.setCold(cold(each, nowMillis)));
    }

    static UpstreamNotices read(UsePacket message, long nowMillis) {
        return new UpstreamNotices(
                message.isSetLeaving()
                        ? Optional.of(leaving(message.getLeaving(), nowMillis))
                        : Optional.empty(),
                message.isSetPauses()
                        ? Optional.of(pauses(message.getPauses(), nowMillis))
                        : Optional.empty(),
                message.isSetEvacuations()
                        ? Optional.of(evacuations(message.getEvacuations()))
                        : Optional.empty(),
                message.isSetCold()
                        ? Optional.of(cold(message.getCold(), nowMillis))
                        : Optional.empty());
    }

    private static UseLeaving leaving(LeavingUpdate update, long nowMillis) {
        UseLeaving message = new UseLeaving(update.version());
        for (LeavingUpstream each : update.upstreams()) {
            message.addToUpstreams(
                    new UseLeavingUpstream(
                            each.incarnation().upstream().value(),
                            each.incarnation().startedMillis(),
                            nowMillis - each.seenMillis()));
        }
        return message;
    }

    private static UsePauses pauses(PauseUpdate update, long nowMillis) {
        UsePauses message = new UsePauses(update.version());
        for (UpstreamPause each : update.pauses()) {
            message.addToPauses(
                    new UsePause(
                            each.incarnation().upstream().value(),
                            each.incarnation().startedMillis(),
                            each.endMillis() - nowMillis));
        }
        return message;
    }

    private static PauseUpdate pauses(UsePauses message, long nowMillis) {
        List<UpstreamPause> pauses = new ArrayList<>();
        if (message.isSetPauses()) {
            for (UsePause each : message.getPauses()) {
                pauses.add(
                        new UpstreamPause(
                                incarnation(each.getUpstream(), each.getStartedMillis()),
                                nowMillis + each.getForMillis()));
            }
        }
        return new PauseUpdate(message.getVersion(), pauses);
    }

    private static UseEvacuations evacuations(EvacuationUpdate update) {
        UseEvacuations message = new UseEvacuations(update.version());
        for (DomainEvacuation each : update.evacuations()) {
            message.addToEvacuations(
                    new UseEvacuation(
                            each.domain().value(), each.evacuated(), each.epoch(), each.offset()));
        }
        return message;
    }

    private static UseCold cold(ColdUpdate update, long nowMillis) {
        UseCold message = new UseCold(update.version());
        for (ColdStatement each : update.statements()) {
            UseColdUpstream upstream =
                    new UseColdUpstream(
                            each.incarnation().upstream().value(),
                            each.incarnation().startedMillis(),
                            each.service(),
                            nowMillis - each.seenMillis());
            each.endMillis().ifPresent(end -> upstream.setLeftMillis(end - nowMillis));
            message.addToUpstreams(upstream);
        }
        return message;
    }

    private static EvacuationUpdate evacuations(UseEvacuations message) {
        List<DomainEvacuation> evacuations = new ArrayList<>();
        if (message.isSetEvacuations()) {
            for (UseEvacuation each : message.getEvacuations()) {
                evacuations.add(
                        new DomainEvacuation(
                                new FailureDomain(each.getDomain()),
                                each.isEvacuated(),
                                each.getEpoch(),
                                each.getOffset()));
            }
        }
        return new EvacuationUpdate(message.getVersion(), evacuations);
    }

    private static ColdUpdate cold(UseCold message, long nowMillis) {
        List<ColdStatement> statements = new ArrayList<>();
        if (message.isSetUpstreams()) {
            for (UseColdUpstream each : message.getUpstreams()) {
                statements.add(
                        new ColdStatement(
                                incarnation(each.getUpstream(), each.getStartedMillis()),
                                each.getServiceName(),
                                nowMillis - each.getAgeMillis(),
                                each.isSetLeftMillis()
                                        ? OptionalLong.of(nowMillis + each.getLeftMillis())
                                        : OptionalLong.empty()));
            }
        }
        return new ColdUpdate(message.getVersion(), statements);
    }

    private static UpstreamIncarnation incarnation(String upstream, long startedMillis) {
        return new UpstreamIncarnation(new UpstreamId(upstream), startedMillis);
    }

    private static LeavingUpdate leaving(UseLeaving message, long nowMillis) {
        List<LeavingUpstream> upstreams = new ArrayList<>();
        if (message.isSetUpstreams()) {
            for (UseLeavingUpstream each : message.getUpstreams()) {
                upstreams.add(
                        new LeavingUpstream(
                                incarnation(each.getUpstream(), each.getStartedMillis()),
                                nowMillis - each.getAgeMillis()));
            }
        }
        return new LeavingUpdate(message.getVersion(), upstreams);
    }
}
