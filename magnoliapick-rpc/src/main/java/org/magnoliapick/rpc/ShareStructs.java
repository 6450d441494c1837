package org.magnoliapick.rpc;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.PoolId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.rpc.gen.ShareAttained;
import org.magnoliapick.rpc.gen.ShareDemand;
import org.magnoliapick.rpc.gen.ShareGrant;
import org.magnoliapick.rpc.gen.ShareGrants;
import org.magnoliapick.rpc.gen.ShareTotal;
import org.magnoliapick.rpc.gen.ShareUpstreamUse;
import org.magnoliapick.rpc.gen.ShareWindow;
import org.magnoliapick.rpc.gen.ShareWorkspaceDemand;
import org.magnoliapick.share.ShareMessage;

/** Copies share messages to Thrift structs and back. */
final class ShareStructs {
    private ShareStructs() {}

    static ShareDemand of(ShareMessage.Demand demand) {
        return new ShareDemand(
                demand.pool().domain().value(),
                demand.pool().target(),
                demand.sequence(),
                demand.receivedSequence(),
                demand.full(),
                map(demand.workspaces(), ShareStructs::of),
                map(demand.upstreams(), ShareStructs::of),
                map(demand.declined(), UpstreamId::value));
    }

    static ShareMessage.Demand demand(ShareDemand struct) {
        return new ShareMessage.Demand(
                pool(struct.getDomain(), struct.getTarget()),
                struct.getSequence(),
                struct.getHeardSequence(),
                struct.isWhole(),
                map(struct.getWorkspaces(), ShareStructs::workspaceDemand),
                map(struct.getUpstreams(), ShareStructs::upstreamUse),
                map(struct.getDeclined(), UpstreamId::new));
    }

    static ShareGrants of(ShareMessage.Grants grants) {
        return new ShareGrants(
                grants.pool().domain().value(),
                grants.pool().target(),
                grants.sequence(),
                grants.backlogged(),
                map(
                        grants.windows(),
                        window -> new ShareWindow(window.upstream().value(), window.maxInFlight())),
                map(grants.grants(), ShareStructs::of));
    }

    static ShareMessage.Grants grants(ShareGrants struct) {
        return new ShareMessage.Grants(
                pool(struct.getDomain(), struct.getTarget()),
                struct.getSequence(),
                struct.isBacklogged(),
                map(
                        struct.getWindows(),
                        window ->
                                new ShareMessage.Window(
                                        new UpstreamId(window.getUpstream()),
                                        window.getMaxInFlight())),
                map(struct.getGrants(), ShareStructs::grant));
    }

    static ShareAttained of(ShareMessage.AttainedService attained) {
        return new ShareAttained(
                attained.pool().domain().value(),
                attained.pool().target(),
                attained.epochMillis(),
                attained.sequence(),
                map(attained.totals(), ShareStructs::of));
    }

    static ShareMessage.AttainedService attained(ShareAttained struct) {
        return new ShareMessage.AttainedService(
                pool(struct.getDomain(), struct.getTarget()),
                struct.getEpochMillis(),
                struct.getSequence(),
                map(struct.getTotals(), ShareStructs::total));
    }

    private static ShareWorkspaceDemand of(ShareMessage.WorkspaceDemand demand) {
        ShareWorkspaceDemand struct =
                new ShareWorkspaceDemand(
                        demand.workspace().value(),
                        demand.target(),
                        demand.waiting(),
                        demand.headRankMillis(),
                        demand.estimateUnits(),
                        demand.usedUnits(),
                        demand.inFlightUnits(),
                        demand.leadUnits());
        demand.preferred().ifPresent(upstream -> struct.setPreferred(upstream.value()));
        return struct;
    }

    private static ShareMessage.WorkspaceDemand workspaceDemand(ShareWorkspaceDemand struct) {
        return new ShareMessage.WorkspaceDemand(
                new WorkspaceId(struct.getWorkspace()),
                struct.getTarget(),
                struct.getWaiting(),
                struct.getHeadRankMillis(),
                struct.getEstimateUnits(),
                struct.getUsedUnits(),
                struct.getInFlightUnits(),
                struct.getLeadUnits(),
                Optional.ofNullable(struct.getPreferred()).map(UpstreamId::new));
    }

    private static ShareUpstreamUse of(ShareMessage.UpstreamUse use) {
        return new ShareUpstreamUse(use.upstream().value(), use.inFlight(), use.gapMillis());
    }

    private static ShareMessage.UpstreamUse upstreamUse(ShareUpstreamUse struct) {
        return new ShareMessage.UpstreamUse(
                new UpstreamId(struct.getUpstream()), struct.getInFlight(), struct.getGapMillis());
    }

    private static ShareGrant of(ShareMessage.Grant grant) {
        return new ShareGrant(
                grant.workspace().value(),
                grant.target(),
                grant.upstream().value(),
                grant.leadUnits());
    }

    private static ShareMessage.Grant grant(ShareGrant struct) {
        return new ShareMessage.Grant(
                new WorkspaceId(struct.getWorkspace()),
                struct.getTarget(),
                new UpstreamId(struct.getUpstream()),
                struct.getLeadUnits());
    }

    private static ShareTotal of(ShareMessage.ServiceTotal total) {
        return new ShareTotal(
                total.workspace().value(),
                total.usedUnits(),
                total.inFlightUnits(),
                total.backlogged());
    }

    private static ShareMessage.ServiceTotal total(ShareTotal struct) {
        return new ShareMessage.ServiceTotal(
                new WorkspaceId(struct.getWorkspace()),
                struct.getUsedUnits(),
                struct.getInFlightUnits(),
                struct.isBacklogged());
    }

    private static PoolId pool(String domain, String target) {
        return new PoolId(new FailureDomain(domain), target);
    }

    private static <A, B> List<B> map(List<A> values, Function<A, B> function) {
        List<B> mapped = new ArrayList<>(values.size());
        for (A value : values) {
            mapped.add(function.apply(value));
        }
        return mapped;
    }
}
