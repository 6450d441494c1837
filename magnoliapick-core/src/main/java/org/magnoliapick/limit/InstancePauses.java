package org.magnoliapick.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.magnoliapick.lib.UpstreamIncarnation;

/** The pauses that upstreams asked one instance for. */
final class InstancePauses {
    /** The maximum number of upstreams whose pauses are kept. */
    private static final int MAX_PAUSES = 1_024;

    private final Map<UpstreamIncarnation, UpstreamPause> mPauses = new HashMap<>();
    private final Consumer<UpstreamIncarnation> mDropped;

    /**
     * Creates an empty set.
     *
     * @param dropped is told of upstreams whose pauses are no longer kept because there are too
     *     many
     */
    InstancePauses(Consumer<UpstreamIncarnation> dropped) {
        mDropped = dropped;
    }

    /** Adds a pause; returns whether it ends later than the one that was known. */
    boolean add(UpstreamPause pause) {
        UpstreamPause known = mPauses.get(pause.incarnation());
        if (known != null && known.endMillis() >= pause.endMillis()) {
            return false;
        }
        if (known == null && mPauses.size() == MAX_PAUSES) {
            mPauses.values().stream()
                    .min(Comparator.comparingLong(UpstreamPause::endMillis))
                    .ifPresent(
                            first -> {
                                mPauses.remove(first.incarnation());
                                mDropped.accept(first.incarnation());
                            });
        }
        mPauses.put(pause.incarnation(), pause);
        return true;
    }

    /** Returns the pause of an upstream; null if there is none. */
    UpstreamPause find(UpstreamIncarnation incarnation) {
        return mPauses.get(incarnation);
    }

    /** Removes and returns the pauses that are over. */
    List<UpstreamPause> removeEnded(long nowMillis) {
        List<UpstreamPause> ended = new ArrayList<>();
        mPauses.values()
                .removeIf(
                        each -> {
                            boolean over = each.endMillis() <= nowMillis;
                            if (over) {
                                ended.add(each);
                            }
                            return over;
                        });
        return ended;
    }

    int size() {
        return mPauses.size();
    }
}
