package org.magnoliapick.rpc;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.member.Member;
import org.magnoliapick.member.StorePosition;
import org.magnoliapick.member.StoreUpdate;
import org.magnoliapick.member.UpdateSubject;
import org.magnoliapick.member.UpstreamChange;
import org.magnoliapick.pool.InstanceReport;
import org.magnoliapick.pool.PoolUse;
import org.magnoliapick.pool.UpstreamUse;
import org.magnoliapick.rpc.gen.UseListChange;
import org.magnoliapick.rpc.gen.UseMember;
import org.magnoliapick.rpc.gen.UsePool;
import org.magnoliapick.rpc.gen.UseReport;
import org.magnoliapick.rpc.gen.UseStoreNews;
import org.magnoliapick.rpc.gen.UseUpstream;
import org.magnoliapick.rpc.gen.UseWorkspace;

/** Turns reports between gateways into messages and back. */
final class UseCodec {
    private UseCodec() {}

    static UseReport report(InstanceReport report) {
        Member sender = report.sender();
        UseReport message =
                new UseReport(
                        sender.instance().value(),
                        sender.domain().value(),
                        report.startedMillis(),
                        report.sequence(),
                        report.pools().stream().map(UseCodec::pool).toList(),
                        sender.address(),
                        sender.milliCores());
        message.setKnownDigest(report.knownDigest());
        message.setListOffset(report.storePosition().listOffset());
        message.setStoreEpoch(report.storePosition().epoch());
        message.setConfigVersion(report.storePosition().configVersion());
        writeVersions(report.knownVersions(), message);
        if (report.wantsReply()) {
            message.setWantsReply(true);
        }
        if (report.declinesDispatcherRole()) {
            message.setDeclinesDuty(true);
        }
        report.members().forEach(each -> message.addToMembers(member(each)));
        return message;
    }

    private static void writeVersions(Map<UpdateSubject, Long> versions, UseReport message) {
        message.setSuspectsVersion(versions.getOrDefault(UpdateSubject.SUSPECTS, 0L));
        message.setLimitsVersion(versions.getOrDefault(UpdateSubject.RATE_LIMITS, 0L));
        message.setLeavingVersion(versions.getOrDefault(UpdateSubject.LEAVING, 0L));
        message.setPausesVersion(versions.getOrDefault(UpdateSubject.PAUSES, 0L));
        message.setEvacuationsVersion(versions.getOrDefault(UpdateSubject.EVACUATIONS, 0L));
        message.setColdVersion(versions.getOrDefault(UpdateSubject.COLD, 0L));
    }

    private static Map<UpdateSubject, Long> knownVersions(UseReport message) {
        Map<UpdateSubject, Long> versions = new EnumMap<>(UpdateSubject.class);
        if (message.isSetSuspectsVersion()) {
            versions.put(UpdateSubject.SUSPECTS, message.getSuspectsVersion());
        }
        if (message.isSetLimitsVersion()) {
            versions.put(UpdateSubject.RATE_LIMITS, message.getLimitsVersion());
        }
        if (message.isSetLeavingVersion()) {
            versions.put(UpdateSubject.LEAVING, message.getLeavingVersion());
        }
        if (message.isSetPausesVersion()) {
            versions.put(UpdateSubject.PAUSES, message.getPausesVersion());
        }
        if (message.isSetEvacuationsVersion()) {
            versions.put(UpdateSubject.EVACUATIONS, message.getEvacuationsVersion());
        }
        if (message.isSetColdVersion()) {
            versions.put(UpdateSubject.COLD, message.getColdVersion());
        }
        return versions;
    }

    private static UseMember member(Member member) {
        return new UseMember(
                member.instance().value(),
                member.domain().value(),
                member.address(),
                member.milliCores());
    }

    private static Member member(UseMember message) {
        return new Member(
                new InstanceId(message.getInstanceName()),
                new FailureDomain(message.getDomain()),
                message.getAddress(),
                message.getMilliCores());
    }

    static UseStoreNews news(StoreUpdate news, long nowMillis) {
        UseStoreNews message =
                new UseStoreNews(
                        news.fromOffset(),
                        news.listOffset(),
                        news.listAgeMillis(),
                        news.configOffset(),
                        news.configAgeMillis());
        message.setEpoch(news.epoch());
        for (UpstreamChange each : news.changes()) {
            UseListChange change = new UseListChange(each.key(), each.offset());
            change.setAgeMillis(nowMillis - each.readMillis());
            if (each.value().hasRemaining()) {
                change.setValue(each.valueBytes());
            }
            message.addToChanges(change);
        }
        return message;
    }

    static StoreUpdate news(UseStoreNews message, long nowMillis) {
        List<UpstreamChange> changes = new ArrayList<>();
        if (message.isSetChanges()) {
            for (UseListChange each : message.getChanges()) {
                byte[] value = each.isSetValue() ? each.getValue() : new byte[0];
                changes.add(
                        new UpstreamChange(
                                each.getKey(),
                                ByteBuffer.wrap(value),
                                each.getOffset(),
                                // Older instances send no age.
                                nowMillis - (each.isSetAgeMillis() ? each.getAgeMillis() : 0)));
            }
        }
        return new StoreUpdate(
                message.isSetEpoch() ? message.getEpoch() : StorePosition.NONE,
                message.getFromOffset(),
                message.getListOffset(),
                message.getListAgeMillis(),
                changes,
                message.getConfigOffset(),
                message.getConfigAgeMillis());
    }

    private static UsePool pool(PoolUse use) {
        List<UseUpstream> upstreams = new ArrayList<>();
        for (UpstreamUse each : use.uses()) {
            UseUpstream upstream =
                    new UseUpstream(
                            each.upstream().value(),
                            each.running(),
                            each.prefillTokens(),
                            each.memoryTokens());
            if (each.tokensPerMilli() > 0) {
                upstream.setTokensPerMilli(each.tokensPerMilli());
            }
            if (each.starts() > 0) {
                upstream.setStarts(each.starts());
            }
            upstreams.add(upstream);
        }
        List<UseWorkspace> workspaces = new ArrayList<>();
        use.servedTokens()
                .forEach(
                        (workspace, tokens) ->
                                workspaces.add(new UseWorkspace(workspace.value(), tokens)));
        UsePool pool = new UsePool(use.service(), upstreams, workspaces, use.waitingTokens());
        use.leastServedTokens().ifPresent(pool::setWaitingLevelTokens);
        if (use.aggregate()) {
            pool.setWhole(true);
        }
        return pool;
    }

    static InstanceReport report(UseReport message) {
        List<PoolUse> pools = new ArrayList<>();
        message.getPools().forEach(each -> pools.add(use(each)));
        List<Member> members = new ArrayList<>();
        if (message.isSetMembers()) {
            message.getMembers().forEach(each -> members.add(member(each)));
        }
        return new InstanceReport(
                new Member(
                        new InstanceId(message.getFromInstance()),
                        new FailureDomain(message.getDomain()),
                        message.getAddress(),
                        message.getMilliCores()),
                message.getStartedMillis(),
                message.getSequence(),
                message.isWantsReply(),
                message.isDeclinesDuty(),
                pools,
                message.getKnownDigest(),
                storePosition(message),
                knownVersions(message),
                members);
    }

    private static StorePosition storePosition(UseReport message) {
        return new StorePosition(
                message.isSetStoreEpoch() ? message.getStoreEpoch() : StorePosition.NONE,
                message.getListOffset(),
                message.isSetConfigVersion() ? message.getConfigVersion() : StorePosition.NONE);
    }

    private static PoolUse use(UsePool pool) {
        List<UpstreamUse> uses = new ArrayList<>();
        for (UseUpstream each : pool.getUpstreams()) {
            uses.add(
                    new UpstreamUse(
                            new UpstreamId(each.getUpstream()),
                            each.getRunning(),
                            each.getReadingTokens(),
                            each.getMemoryTokens(),
                            each.getTokensPerMilli(),
                            each.getStarts()));
        }
        Map<WorkspaceId, Long> served = new HashMap<>();
        pool.getWorkspaces()
                .forEach(
                        each ->
                                served.put(
                                        new WorkspaceId(each.getWorkspace()),
                                        each.getServedTokens()));
        return new PoolUse(
                pool.getServiceName(),
                uses,
                served,
                pool.getWaitingTokens(),
                pool.isSetWaitingLevelTokens()
                        ? OptionalLong.of(pool.getWaitingLevelTokens())
                        : OptionalLong.empty(),
                pool.isWhole());
    }
}
