package org.magnoliapick.router.internal.admin;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.magnoliapick.admin.SummaryWriter;
import org.magnoliapick.router.internal.peer.PeerPart;
import org.magnoliapick.router.internal.supervisor.Part;

/**
 * Appends the summaries of decisions to the log. The more instances there are, the rarer, so that
 * all of them together stay within a part of the log's rate of appends.
 */
@Singleton
public final class SummaryPart implements Part {
    /** The shortest time between two appends of one instance, in milliseconds. */
    static final long MIN_PERIOD_MILLIS = 5_000;

    /** The share of time that each instance adds, so that the fleet makes 40 appends a second. */
    static final long PERIOD_MILLIS_PER_INSTANCE = 25;

    private final SummaryWriter mWriter;
    private final PeerPart mPeers;

    @Inject
    SummaryPart(SummaryWriter writer, PeerPart peers) {
        mWriter = writer;
        mPeers = peers;
    }

    @Override
    public String name() {
        return "summaries";
    }

    @Override
    public void step() throws InterruptedException {
        Thread.sleep(periodMillis(mPeers.others().size() + 1));
        mWriter.step();
    }

    static long periodMillis(int instances) {
        return Math.max(MIN_PERIOD_MILLIS, instances * PERIOD_MILLIS_PER_INSTANCE);
    }
}
