package org.magnoliapick.rpc;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
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

/** Turns reports between gateways into bytes and back. */
public final class UseCodec {
    private static final int MAX_STRING_BYTES = 1_024;
    private static final int MAX_LIST_SIZE = 10_000;

    private UseCodec() {}

    /** Encodes a report. */
    public static byte[] encode(InstanceReport report) {
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
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(message);
        } catch (TException e) {
            throw new IllegalStateException("A report is written to memory", e);
        }
    }

    /** Decodes a report; whatever the bytes are, it returns. */
    public static Optional<InstanceReport> decode(byte[] bytes) {
        UseReport message = new UseReport();
        try {
            new TDeserializer(new TCompactProtocol.Factory(MAX_STRING_BYTES, MAX_LIST_SIZE))
                    .deserialize(message, bytes);
            return Optional.of(report(message));
        } catch (TException | RuntimeException e) {
            return Optional.empty();
        }
    }

    private static UsePool pool(PoolUse use) {
        List<UseUpstream> upstreams = new ArrayList<>();
        for (UpstreamUse each : use.uses()) {
            upstreams.add(
                    new UseUpstream(
                            each.upstream().value(),
                            each.running(),
                            each.readingTokens(),
                            each.memoryTokens()));
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

    private static InstanceReport report(UseReport message) {
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
                            each.getMemoryTokens()));
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
