package org.magnoliapick.router.internal;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.magnoliapick.ports.Platform;
import org.magnoliapick.router.internal.member.PeerPort;
import org.magnoliapick.rpc.PeerLinks;
import org.magnoliapick.rpc.PeerServer;

/** The connections and thread pools of the process, apart from the callers' server. */
@Singleton
final class RouterSockets {
    private final PeerServer mPeerServer;
    private final PeerLinks mLinks;
    private final PeerPort mPeerPort;
    private final RouterThreads mThreads;
    private final Platform mPlatform;

    @Inject
    RouterSockets(
            PeerServer peerServer,
            PeerLinks links,
            PeerPort peerPort,
            RouterThreads threads,
            Platform platform) {
        mPeerServer = peerServer;
        mLinks = links;
        mPeerPort = peerPort;
        mThreads = threads;
        mPlatform = platform;
    }

    /** Listens for other instances. */
    void open() {
        mPeerPort.set(mPeerServer.port());
        mPeerServer.start();
    }

    /** Ends what callers and upstreams use, so that blocked parts return. */
    void closeCalls() {
        mThreads.close();
        mPlatform.close();
    }

    /** Ends the connections with other instances. */
    void closePeers() {
        mPeerServer.close();
        mLinks.close();
    }
}
