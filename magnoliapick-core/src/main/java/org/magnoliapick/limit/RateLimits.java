package org.magnoliapick.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.magnoliapick.lib.UpstreamId;

/**
 * The rate limits that upstreams named, as far as this instance knows. For each upstream the newest
 * statement counts, whether a response to this instance contained it or another instance reported
 * it, so the order and repetition of messages do not matter. A limit belongs to one incarnation of
 * an upstream.
 */
public final class RateLimits {
    /**
     * The time without any response of an upstream after which its limit is forgotten, in
     * milliseconds. A limited upstream still gets requests, so responses are only missing if there
     * is no demand or it is lost.
     */
    private static final long EXPIRY_MILLIS = 60_000;

    /**
     * The interval at which an unchanged limit is reported again, in milliseconds, so that it does
     * not expire at instances that get no response of the upstream.
     */
    private static final long REFRESH_MILLIS = 10_000;

    /** The maximum number of upstreams whose limits are kept. */
    private static final int MAX_LIMITS = 2_048;

    /** The maximum number of limits in one update. */
    private static final int MAX_REPORTS = 32;

    /**
     * The time of an event that has not happened. It is half the minimum, so that the time since it
     * does not overflow.
     */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<UpstreamId, Entry> mEntries = new HashMap<>();
    private final List<RateLimitChange> mChanges = new ArrayList<>();
    private final ColdUpstreams mCold = new ColdUpstreams();
    private long mVersion;
    private long mChangeCount;

    /**
     * Returns the limit of an upstream in requests per second; absent if it has none.
     *
     * @param startedMillis when the incarnation of the upstream started
     */
    public OptionalDouble find(UpstreamId upstream, long startedMillis) {
        Entry entry = mEntries.get(upstream);
        return entry == null ? OptionalDouble.empty() : entry.perSecond(startedMillis);
    }

    /**
     * Records what a response of an upstream stated. A response without a limit only ends a limit
     * that was named before its request was sent, since responses may arrive out of order.
     *
     * @param limit the statement
     * @param request the request that was responded to
     * @param sentMillis when the request was sent
     */
    public void record(RateLimit limit, String request, long sentMillis) {
        if (limit.perSecond().isEmpty()) {
            Entry known = mEntries.get(limit.upstream());
            boolean ends =
                    known != null
                            && known.perSecond(limit.startedMillis()).isPresent()
                            && sentMillis >= known.mLimit.seenMillis();
            if (!ends) {
                return;
            }
        }
        apply(limit, "request " + request);
    }

    /**
     * Applies what another instance knows.
     *
     * @param from the name of the instance
     */
    public void applyUpdate(RateLimitUpdate update, String from) {
        update.limits().forEach(each -> apply(each, "instance " + from));
    }

    private void apply(RateLimit limit, String evidence) {
        Entry entry = mEntries.get(limit.upstream());
        if (entry != null && limit.seenMillis() <= entry.mLimit.seenMillis()) {
            return;
        }
        OptionalDouble before =
                entry == null ? OptionalDouble.empty() : entry.perSecond(limit.startedMillis());
        if (entry == null) {
            entry = new Entry();
            mEntries.put(limit.upstream(), entry);
        }
        entry.mLimit = limit;
        boolean changed = !before.equals(limit.perSecond());
        if (changed || limit.seenMillis() - entry.mReportedMillis >= REFRESH_MILLIS) {
            entry.mReportedMillis = limit.seenMillis();
            entry.mVersion = ++mVersion;
        }
        if (changed) {
            RateLimitChange.Kind kind =
                    limit.perSecond().isPresent()
                            ? RateLimitChange.Kind.RATE_LIMITED
                            : RateLimitChange.Kind.RATE_UNLIMITED;
            addChange(kind, limit, before, evidence);
        }
        dropExcess();
    }

    /** Forgets limits that were not confirmed for too long. */
    public void tick(long nowMillis) {
        mEntries.values()
                .removeIf(
                        entry -> {
                            boolean expired = nowMillis - entry.mLimit.seenMillis() > EXPIRY_MILLIS;
                            if (expired && entry.mLimit.perSecond().isPresent()) {
                                addChange(
                                        RateLimitChange.Kind.RATE_LIMIT_EXPIRED,
                                        entry.mLimit,
                                        entry.mLimit.perSecond(),
                                        "no response for " + EXPIRY_MILLIS + " ms");
                            }
                            return expired;
                        });
    }

    private void dropExcess() {
        while (mEntries.size() > MAX_LIMITS) {
            mEntries.values().stream()
                    .map(entry -> entry.mLimit)
                    .min(Comparator.comparingLong(RateLimit::seenMillis))
                    .ifPresent(oldest -> mEntries.remove(oldest.upstream()));
        }
    }

    /**
     * Returns what changed here for another instance; empty if it knows everything.
     *
     * @param knownVersion the version up to which it knows what is known here
     */
    public Optional<RateLimitUpdate> updateFor(long knownVersion) {
        // A version above the own one is of an earlier incarnation of this instance.
        long known = knownVersion > mVersion ? 0 : knownVersion;
        if (known == mVersion) {
            return Optional.empty();
        }
        List<Entry> changed =
                mEntries.values().stream()
                        .filter(entry -> entry.mVersion > known)
                        .sorted(Comparator.comparingLong(entry -> entry.mVersion))
                        .limit(MAX_REPORTS)
                        .toList();
        boolean all = changed.size() < MAX_REPORTS;
        long version = all ? mVersion : changed.get(MAX_REPORTS - 1).mVersion;
        return Optional.of(
                new RateLimitUpdate(version, changed.stream().map(each -> each.mLimit).toList()));
    }

    /** Returns the upstreams that are cold, whose rates are limited by the configuration. */
    public ColdUpstreams cold() {
        return mCold;
    }

    /** Returns a number that grows with each change of a limit. */
    public long changeCount() {
        return mChangeCount;
    }

    /** Returns the number of upstreams that are limited at present. */
    public long limitedCount() {
        return mEntries.values().stream()
                .filter(entry -> entry.mLimit.perSecond().isPresent())
                .count();
    }

    /** Returns the changes since the last call, for the log. */
    public List<RateLimitChange> takeChanges() {
        List<RateLimitChange> changes = List.copyOf(mChanges);
        mChanges.clear();
        return changes;
    }

    private void addChange(
            RateLimitChange.Kind kind, RateLimit limit, OptionalDouble before, String evidence) {
        mChangeCount++;
        mChanges.add(new RateLimitChange(kind, limit, before, evidence));
    }

    private static final class Entry {
        private RateLimit mLimit;

        /** The version at which the limit was last to be reported. */
        private long mVersion;

        /** When the statement was received that was last to be reported. */
        private long mReportedMillis = NEVER;

        /** Returns the limit of an incarnation of the upstream, if it has one. */
        private OptionalDouble perSecond(long startedMillis) {
            return mLimit.startedMillis() == startedMillis
                    ? mLimit.perSecond()
                    : OptionalDouble.empty();
        }
    }
}
