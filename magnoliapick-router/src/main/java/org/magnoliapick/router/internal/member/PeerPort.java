package org.magnoliapick.router.internal.member;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;

/** The TCP port of the own peer service, known once it is bound. */
@Singleton
public final class PeerPort {
    private volatile int mPort;

    @Inject
    PeerPort() {}

    /** Notes the port. */
    public void set(int port) {
        mPort = port;
    }

    /** Returns the port, or 0 before it is bound. */
    public int get() {
        return mPort;
    }
}
