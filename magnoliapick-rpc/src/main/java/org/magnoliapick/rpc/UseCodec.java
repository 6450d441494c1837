package org.magnoliapick.rpc;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.pool.InstanceReport;
import org.magnoliapick.pool.PoolUse;
import org.magnoliapick.pool.UpstreamUse;
import org.magnoliapick.rpc.gen.UsePool;
import org.magnoliapick.rpc.gen.UseReport;
import org.magnoliapick.rpc.gen.UseUpstream;
import org.magnoliapick.rpc.gen.UseWorkspace;

/** Turns reports between gateways into messages and back. */
final class UseCodec {
    private UseCodec() {}

    static UseReport report(InstanceReport report) {
        UseReport message =
                new UseReport(
                        report.instance().value(),
                        report.domain().value(),
                        report.startedMillis(),
                        report.sequence(),
                        report.pools().stream().map(UseCodec::pool).toList(),
                        report.address());
        if (!report.knownAddresses().isEmpty()) {
            message.setKnownAddresses(report.knownAddresses());
        }
        return message;
    }

    private static UsePool pool(PoolUse use) {
        List<UseUpstream> upstreams = new ArrayList<>();
        for (UpstreamUse each : use.uses()) {
            UseUpstream upstream =
                    new UseUpstream(
                            each.upstream().value(),
                            each.running(),
                            each.readingTokens(),
                            each.memoryTokens());
            if (each.tokensPerMilli() > 0) {
                upstream.setTokensPerMilli(each.tokensPerMilli());
            }
            upstreams.add(upstream);
        }
        List<UseWorkspace> workspaces = new ArrayList<>();
        use.servedTokens()
                .forEach(
                        (workspace, tokens) ->
                                workspaces.add(new UseWorkspace(workspace.value(), tokens)));
        UsePool pool = new UsePool(use.service(), upstreams, workspaces, use.waitingTokens());
        use.waitingLevelTokens().ifPresent(pool::setWaitingLevelTokens);
        return pool;
    }

    static InstanceReport report(UseReport message) {
        List<PoolUse> pools = new ArrayList<>();
        message.getPools().forEach(each -> pools.add(use(each)));
        return new InstanceReport(
                new InstanceId(message.getFromInstance()),
                new FailureDomain(message.getDomain()),
                message.getAddress(),
                message.getStartedMillis(),
                message.getSequence(),
                pools,
                message.isSetKnownAddresses() ? message.getKnownAddresses() : List.of());
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
                            each.getTokensPerMilli()));
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
                        : OptionalLong.empty());
    }
}
