package org.magnoliapick.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.magnoliapick.lib.ChangeLog;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamIncarnation;

/**
 * The pauses that upstreams asked for when they refused requests. A pause applies to the instance
 * whose request was refused only; it reports its pauses to its dispatcher, which chooses other
 * upstreams for it. A pause ends with its time or with the incarnation of the upstream, but not
 * with a response to a request that was sent before.
 */
public final class UpstreamPauses {
    /**
     * The longest pause, in milliseconds. A wrong value does not keep an upstream from being used
     * for longer.
     */
    private static final long MAX_PAUSE_MILLIS = 600_000;

    /** The extension from which a longer pause is logged and told, in milliseconds. */
    private static final long MIN_EXTENSION_MILLIS = 100;

    /** The maximum number of other instances whose pauses are kept. */
    private static final int MAX_INSTANCES = 1_024;

    private final ChangeLog<UpstreamIncarnation> mChangeLog = new ChangeLog<>();
    private final InstancePauses mOwn = new InstancePauses(this::forget);

    /** The ends of the own pauses as they were last logged and told to other instances. */
    private final Map<UpstreamIncarnation, Long> mToldEndMillis = new HashMap<>();

    private final Map<InstanceId, Peer> mPeers = new HashMap<>();
    private final List<PauseChange> mChanges = new ArrayList<>();

    /**
     * Records that an upstream refused a request of this instance and asked for a pause.
     *
     * @param request the request that was refused
     */
    public void record(
            UpstreamIncarnation incarnation, String request, long pauseMillis, long nowMillis) {
        if (pauseMillis <= 0) {
            return;
        }
        UpstreamPause pause = new UpstreamPause(incarnation, end(pauseMillis, nowMillis));
        if (mOwn.add(pause) && isToBeTold(pause)) {
            mToldEndMillis.put(incarnation, pause.endMillis());
            mChangeLog.changed(incarnation);
            mChanges.add(new PauseChange(PauseChange.Kind.PAUSED, pause, "request " + request));
        }
    }

    private boolean isToBeTold(UpstreamPause pause) {
        Long told = mToldEndMillis.get(pause.incarnation());
        return told == null || pause.endMillis() - told >= MIN_EXTENSION_MILLIS;
    }

    private void forget(UpstreamIncarnation incarnation) {
        mChangeLog.removed(incarnation);
        mToldEndMillis.remove(incarnation);
    }

    private static long end(long pauseMillis, long nowMillis) {
        return nowMillis + Math.min(MAX_PAUSE_MILLIS, pauseMillis);
    }

    /**
     * Records that another instance sent a report. After its restart its former pauses no longer
     * apply.
     *
     * @param startedMillis when the instance's incarnation started
     */
    public void reportReceived(InstanceId instance, long startedMillis) {
        mPeers.computeIfPresent(
                instance, (id, peer) -> peer.startedMillis() == startedMillis ? peer : null);
    }

    /**
     * Applies the pauses of another instance.
     *
     * @param startedMillis when the instance's incarnation started
     */
    public void applyUpdate(
            InstanceId instance, long startedMillis, PauseUpdate update, long nowMillis) {
        reportReceived(instance, startedMillis);
        if (mPeers.size() >= MAX_INSTANCES && !mPeers.containsKey(instance)) {
            return;
        }
        Peer peer =
                mPeers.computeIfAbsent(
                        instance, id -> new Peer(startedMillis, new InstancePauses(each -> {})));
        for (UpstreamPause each : update.pauses()) {
            long pauseMillis = each.endMillis() - nowMillis;
            if (pauseMillis > 0) {
                peer.pauses()
                        .add(new UpstreamPause(each.incarnation(), end(pauseMillis, nowMillis)));
            }
        }
    }

    /** Ends the pauses whose time is over. */
    public void tick(long nowMillis) {
        for (UpstreamPause each : mOwn.removeEnded(nowMillis)) {
            forget(each.incarnation());
            mChanges.add(new PauseChange(PauseChange.Kind.PAUSE_ENDED, each, "the time is over"));
        }
        mPeers.values()
                .removeIf(
                        peer -> {
                            peer.pauses().removeEnded(nowMillis);
                            return peer.pauses().size() == 0;
                        });
    }

    /** Returns whether any upstream may be paused for any instance. */
    public boolean isEmpty() {
        return mOwn.size() == 0 && mPeers.isEmpty();
    }

    /**
     * Returns how long an upstream still wants no requests of an instance, in milliseconds; 0 if it
     * takes them.
     *
     * @param instance the instance; absent if it is this one
     */
    public long remainingMillis(
            Optional<InstanceId> instance, UpstreamIncarnation incarnation, long nowMillis) {
        UpstreamPause pause = null;
        if (instance.isEmpty()) {
            pause = mOwn.find(incarnation);
        } else {
            Peer peer = mPeers.get(instance.get());
            if (peer != null) {
                pause = peer.pauses().find(incarnation);
            }
        }
        return pause == null ? 0 : Math.max(0, pause.endMillis() - nowMillis);
    }

    /**
     * Returns the pauses of this instance that another one does not know; empty if it knows all.
     *
     * @param knownVersion the version up to which it knows them
     */
    public Optional<PauseUpdate> updateFor(long knownVersion) {
        return mChangeLog
                .since(knownVersion)
                .map(
                        changes ->
                                new PauseUpdate(
                                        changes.version(),
                                        changes.keys().stream()
                                                .map(mOwn::find)
                                                .filter(Objects::nonNull)
                                                .toList()));
    }

    /** Returns the number of upstreams that want no requests of this instance. */
    public long count() {
        return mOwn.size();
    }

    /** Returns the changes since the last call, for the log. */
    public List<PauseChange> takeChanges() {
        List<PauseChange> changes = List.copyOf(mChanges);
        mChanges.clear();
        return changes;
    }

    /**
     * The pauses of another instance.
     *
     * @param startedMillis when the instance's incarnation started
     */
    private record Peer(long startedMillis, InstancePauses pauses) {}
}
