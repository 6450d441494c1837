package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.lib.ChangeLog;
import org.magnoliapick.lib.UpstreamIncarnation;

/**
 * The upstreams that stated in responses that they are leaving, as far as this instance knows. The
 * statement is final for an incarnation of an upstream, whatever the list of upstreams says of it
 * later, and is kept until that incarnation has been gone for long. Instances tell each other of
 * it; order and repetition of the messages do not matter.
 */
public final class LeavingUpstreams {
    /**
     * The time for which an upstream that is no longer listed is remembered, in milliseconds. A
     * restored copy of the list that is older than that lists it again.
     */
    private static final long KEEP_MILLIS = 600_000;

    /** The maximum number of upstreams that are remembered. */
    private static final int MAX_UPSTREAMS = 2_048;

    private final Map<UpstreamIncarnation, LeavingUpstream> mUpstreams = new HashMap<>();
    private final ChangeLog<UpstreamIncarnation> mChangeLog = new ChangeLog<>();
    private final List<LeavingChange> mChanges = new ArrayList<>();

    /** Returns whether this incarnation of an upstream is leaving. */
    public boolean contains(ListedUpstream upstream) {
        return mUpstreams.containsKey(upstream.incarnation());
    }

    /**
     * Records that a response of an upstream stated that it is leaving; returns whether that was
     * unknown.
     *
     * @param request the request that was responded to
     */
    public boolean record(ListedUpstream upstream, String request, long nowMillis) {
        return add(new LeavingUpstream(upstream.incarnation(), nowMillis), "request " + request);
    }

    /**
     * Applies what another instance knows; returns whether any of it was unknown.
     *
     * @param from the name of the instance
     */
    public boolean applyUpdate(LeavingUpdate update, String from, long nowMillis) {
        boolean changed = false;
        for (LeavingUpstream each : update.upstreams()) {
            changed |= !isForgotten(each, nowMillis) && add(each, "instance " + from);
        }
        return changed;
    }

    private boolean add(LeavingUpstream upstream, String evidence) {
        UpstreamIncarnation incarnation = upstream.incarnation();
        LeavingUpstream known = mUpstreams.get(incarnation);
        if (known != null) {
            if (known.seenMillis() < upstream.seenMillis()) {
                mUpstreams.put(incarnation, upstream);
            }
            return false;
        }
        if (mUpstreams.size() == MAX_UPSTREAMS) {
            mUpstreams.values().stream()
                    .min(Comparator.comparingLong(LeavingUpstream::seenMillis))
                    .ifPresent(oldest -> forget(oldest, "too many upstreams"));
        }
        mUpstreams.put(incarnation, upstream);
        mChangeLog.changed(incarnation);
        mChanges.add(new LeavingChange(LeavingChange.Kind.LEAVING, upstream, evidence));
        return true;
    }

    /** Records that an upstream is still listed, so that it is not forgotten. */
    void recordListed(ListedUpstream upstream, long nowMillis) {
        mUpstreams.computeIfPresent(
                upstream.incarnation(),
                (incarnation, each) -> new LeavingUpstream(incarnation, nowMillis));
    }

    /** Forgets upstreams that have not been listed for long. */
    void tick(long nowMillis) {
        List.copyOf(mUpstreams.values()).stream()
                .filter(each -> isForgotten(each, nowMillis))
                .forEach(each -> forget(each, "not listed for " + KEEP_MILLIS + " ms"));
    }

    private static boolean isForgotten(LeavingUpstream upstream, long nowMillis) {
        return nowMillis - upstream.seenMillis() > KEEP_MILLIS;
    }

    private void forget(LeavingUpstream upstream, String evidence) {
        mUpstreams.remove(upstream.incarnation());
        mChangeLog.removed(upstream.incarnation());
        mChanges.add(new LeavingChange(LeavingChange.Kind.LEAVING_FORGOTTEN, upstream, evidence));
    }

    /**
     * Returns what was learned here for another instance; empty if it knows everything.
     *
     * @param knownVersion the version up to which it knows what is known here
     */
    public Optional<LeavingUpdate> updateFor(long knownVersion) {
        return mChangeLog
                .since(knownVersion)
                .map(
                        changes ->
                                new LeavingUpdate(
                                        changes.version(),
                                        changes.keys().stream().map(mUpstreams::get).toList()));
    }

    /** Returns the number of upstreams that are remembered as leaving. */
    public long count() {
        return mUpstreams.size();
    }

    /** Returns the changes since the last call, for the log. */
    public List<LeavingChange> takeChanges() {
        List<LeavingChange> changes = List.copyOf(mChanges);
        mChanges.clear();
        return changes;
    }
}
