package org.magnoliapick.record;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.magnoliapick.lib.RequestId;

/** The last decisions of an instance, bounded in number. Used by one thread at a time. */
public final class DecisionRing {
    private final int mMaxDecisions;
    private final Deque<KeptDecision> mDecisions = new ArrayDeque<>();
    private long mDropped;

    /** Creates a ring that keeps the given number of decisions. */
    public DecisionRing(int maxDecisions) {
        mMaxDecisions = maxDecisions;
    }

    /** Keeps a decision; the oldest one makes room. */
    public void add(KeptDecision decision) {
        mDecisions.addLast(decision);
        if (mDecisions.size() > mMaxDecisions) {
            mDecisions.removeFirst();
            mDropped++;
        }
    }

    /** Returns the kept decisions about a request, oldest first. */
    public List<KeptDecision> decisionsFor(RequestId request) {
        return mDecisions.stream()
                .filter(kept -> kept.decision().request().filter(request::equals).isPresent())
                .toList();
    }

    /** Returns how many decisions are kept. */
    public int size() {
        return mDecisions.size();
    }

    /** Returns how many decisions made room for later ones. */
    public long dropped() {
        return mDropped;
    }
}
