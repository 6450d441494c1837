package org.magnoliapick.router.internal;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import org.eclipse.jetty.server.Server;
import org.magnoliapick.router.internal.caller.StoppingPart;

/** Drains the instance before the server stops, when the process is told to end. */
public final class ShutdownHook {
    private static final Logger LOG = System.getLogger(ShutdownHook.class.getName());

    private final StoppingPart mStopping;

    /** Creates a hook that is not installed. */
    public ShutdownHook(StoppingPart stopping) {
        mStopping = stopping;
    }

    /** Takes the place of the server's own hook, which would cut requests in progress. */
    public void install(Server server) {
        server.setStopAtShutdown(false);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(server), "shutdown"));
    }

    private void stop(Server server) {
        try {
            mStopping.drain();
            server.stop();
            LOG.log(Level.INFO, "[stop] Stopped.");
        } catch (Exception e) {
            LOG.log(Level.ERROR, "[stop] The stop did not go as planned.", e);
        }
    }
}
