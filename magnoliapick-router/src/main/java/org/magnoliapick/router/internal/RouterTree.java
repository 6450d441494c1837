package org.magnoliapick.router.internal;

import io.dropwizard.lifecycle.Managed;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.magnoliapick.admin.ConfigFollower;
import org.magnoliapick.router.internal.admin.SummaryPart;
import org.magnoliapick.router.internal.caller.Attempts;
import org.magnoliapick.router.internal.caller.RequestReader;
import org.magnoliapick.router.internal.claim.LogClaims;
import org.magnoliapick.router.internal.config.ConfigPart;
import org.magnoliapick.router.internal.config.RelayedLog;
import org.magnoliapick.router.internal.member.MemberPart;
import org.magnoliapick.router.internal.order.OrderPart;
import org.magnoliapick.router.internal.peer.PeerPart;
import org.magnoliapick.router.internal.share.ShareLoop;
import org.magnoliapick.router.internal.supervisor.Supervisor;
import org.magnoliapick.router.internal.upstream.LoadPart;

/** The supervisor tree of the process, and who hears of what. */
@Singleton
public final class RouterTree implements Managed {
    private final RouterSockets mSockets;
    private final Supervisor mRoot = new Supervisor("router");

    @Inject
    RouterTree(RouterSockets sockets) {
        mSockets = sockets;
    }

    /** Hangs the parts into the tree; supervisors start in this order and stop in the other. */
    @Inject
    void hang(
            PeerPart peers,
            LoadPart loads,
            OrderPart orders,
            ConfigPart config,
            MemberPart members,
            SummaryPart summaries,
            LogClaims claims,
            ShareLoop shares) {
        mRoot.with(new Supervisor("fleet").with(peers))
                .with(new Supervisor("upstreams").with(loads).with(orders))
                .with(new Supervisor("platform").with(config).with(members).with(summaries))
                .with(claims.supervisor())
                .with(shares);
    }

    @Inject
    void listenToMembers(
            MemberPart members,
            Attempts attempts,
            PeerPart peers,
            LoadPart loads,
            OrderPart orders,
            RelayedLog log,
            ShareLoop shares) {
        members.addListener(attempts);
        members.addListener(peers);
        members.addListener(loads);
        members.addListener(orders);
        members.addListener(log);
        members.addListener(shares::viewChanged);
    }

    @Inject
    void listenToConfig(
            ConfigFollower config,
            RequestReader reader,
            MemberPart members,
            OrderPart orders,
            ShareLoop shares,
            Readiness readiness) {
        config.addListener(reader::configChanged);
        config.addListener(members::configChanged);
        config.addListener(orders::configChanged);
        config.addListener(shares::configChanged);
        config.addListener(inForce -> readiness.configured());
    }

    @Override
    public void start() {
        mSockets.open();
        mRoot.start();
    }

    @Override
    public void stop() {
        mSockets.closeCalls();
        mRoot.stop();
        mSockets.closePeers();
    }
}
