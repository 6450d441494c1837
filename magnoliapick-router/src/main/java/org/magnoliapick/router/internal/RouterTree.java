package org.magnoliapick.router.internal;

import io.dropwizard.lifecycle.Managed;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.magnoliapick.admin.ConfigFollower;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.platform.Platform;
import org.magnoliapick.router.internal.admin.SummaryPart;
import org.magnoliapick.router.internal.caller.Attempts;
import org.magnoliapick.router.internal.caller.RequestReader;
import org.magnoliapick.router.internal.claim.LogClaims;
import org.magnoliapick.router.internal.member.MemberPart;
import org.magnoliapick.router.internal.member.PeerPort;
import org.magnoliapick.router.internal.peer.PeerPart;
import org.magnoliapick.router.internal.share.ShareLoop;
import org.magnoliapick.router.internal.supervisor.Supervisor;
import org.magnoliapick.router.internal.upstream.LoadPart;
import org.magnoliapick.rpc.PeerLinks;
import org.magnoliapick.rpc.PeerServer;

/** The supervisor tree of the process, and who hears of what. */
@Singleton
public final class RouterTree implements Managed {
    private final Supervisor mRoot;
    private final PeerServer mPeerServer;
    private final PeerLinks mLinks;
    private final PeerPort mPeerPort;
    private final RouterThreads mThreads;
    private final Platform mPlatform;

    @Inject
    RouterTree(
            ShareLoop shares,
            ConfigPart config,
            MemberPart members,
            PeerPart peers,
            LoadPart loads,
            LogClaims claims,
            SummaryPart summaries,
            PeerServer peerServer,
            PeerLinks links,
            PeerPort peerPort,
            RouterThreads threads,
            Platform platform) {
        mThreads = threads;
        mPlatform = platform;
        mPeerServer = peerServer;
        mLinks = links;
        mPeerPort = peerPort;
        Supervisor outside = new Supervisor("platform").with(config).with(members).with(summaries);
        Supervisor upstreams = new Supervisor("upstreams").with(loads);
        Supervisor fleet = new Supervisor("fleet").with(peers);
        mRoot =
                new Supervisor("router")
                        .with(fleet)
                        .with(upstreams)
                        .with(outside)
                        .with(claims.supervisor())
                        .with(shares);
    }

    @Inject
    void listen(
            ConfigFollower config,
            MemberPart members,
            Readiness readiness,
            RequestReader reader,
            ShareLoop shares,
            Attempts attempts,
            PeerPart peers,
            LoadPart loads) {
        members.addListener(attempts);
        members.addListener(peers);
        members.addListener(loads);
        members.addListener(shares::viewChanged);
        config.addListener(reader::configChanged);
        config.addListener(shares::configChanged);
        config.addListener((FleetConfig inForce) -> readiness.configured());
    }

    @Override
    public void start() {
        mPeerPort.set(mPeerServer.port());
        mPeerServer.start();
        mRoot.start();
    }

    @Override
    public void stop() {
        mThreads.close();
        mPlatform.close();
        mRoot.stop();
        mPeerServer.close();
        mLinks.close();
    }
}
