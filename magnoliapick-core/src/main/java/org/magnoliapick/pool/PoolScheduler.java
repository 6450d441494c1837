package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.limit.RateLimits;
import org.magnoliapick.limit.UpstreamPauses;
import org.magnoliapick.quarantine.PromptQuarantine;
import org.magnoliapick.quarantine.Quarantine;
import org.magnoliapick.request.AttemptEnd;
import org.magnoliapick.route.EngineSpec;
import org.magnoliapick.route.ServiceSpec;

/**
 * Decides for the requests of one service which goes to which upstream, which waits and which is
 * refused. Requests are ordered here because an engine processes them in the order of arrival: each
 * engine only gets a short backlog, the least served workspace goes first, and a request that
 * cannot meet its objective is refused while the refusal is still of use to its caller.
 */
public final class PoolScheduler {
    /**
     * Fraction of its objective for which a request waits for an upstream that has its prompt
     * cached.
     */
    private static final double CACHE_WAIT_FRACTION = 0.35;

    /** Number of tokens whose prefill is not worth avoiding by waiting: a few milliseconds. */
    private static final long NEGLIGIBLE_PREFILL_TOKENS = 512;

    /**
     * Maximum number of requests that are skipped because no upstream has room for them, for
     * example because they are currently too large.
     */
    private static final int MAX_SKIPPED_JOBS = 40;

    private final PoolSettings mSettings;
    private final ServedTokens mServed;
    private final PoolLoads mLoads;
    private final PoolPauses mPauses;
    private final PromptClasses mClasses;
    private final WaitingJobs mWaiting;
    private final PeerQueues mPeerQueues = new PeerQueues();
    private final Refusals mRefusals;
    private final PromptQuarantine mQuarantine;
    private long mQuarantineVersion;
    private ServiceSpec mService;
    private long mLastGrant;
    private boolean mAllLeaving;

    /**
     * Creates a scheduler without upstreams.
     *
     * @param quarantine the poison requests, which are refused
     * @param rateLimits the rate limits that upstreams named
     * @param pauses the pauses that upstreams asked instances for
     */
    public PoolScheduler(
            ServiceSpec service,
            PoolSettings settings,
            PromptQuarantine quarantine,
            RateLimits rateLimits,
            UpstreamPauses pauses) {
        mService = service;
        mSettings = settings;
        mQuarantine = quarantine;
        mClasses = new PromptClasses(settings.promptClasses());
        mWaiting = new WaitingJobs();
        mLoads = new PoolLoads(rateLimits, settings.cold());
        mLoads.configure(service);
        mPauses = new PoolPauses(pauses, mLoads);
        mServed = new ServedTokens(settings.shareWindowMillis());
        mRefusals = new Refusals(settings, mWaiting, mServed, mPeerQueues, mClasses);
    }

    /** Applies the current configuration of the service. */
    public void configure(ServiceSpec service) {
        mService = service;
        mLoads.configure(service);
    }

    /** Sets the upstreams that may get new requests. */
    public void setUpstreams(List<ListedUpstream> upstreams, long nowMillis) {
        mLoads.setUpstreams(upstreams, mService.engine(), nowMillis);
    }

    /** Sets whether upstreams are listed and all of them are leaving. */
    public void setAllLeaving(boolean allLeaving) {
        mAllLeaving = allLeaving;
    }

    /** Sets the part of the fleet for which this instance decides. */
    public void setShare(FleetShare share, long nowMillis) {
        mLoads.setShare(share, nowMillis);
    }

    /** Applies another instance's report of its use. */
    public void updatePeer(InstanceId instance, PoolUse use, long nowMillis) {
        mLoads.refreshRateLimits(nowMillis);
        Map<UpstreamId, UpstreamUse> uses = new HashMap<>();
        use.uses().forEach(each -> uses.put(each.upstream(), each));
        for (UpstreamLoad load : mLoads.all()) {
            Optional<UpstreamUse> ofLoad = Optional.ofNullable(uses.get(load.upstream().id()));
            load.updatePeer(instance, ofLoad, use.aggregate(), nowMillis);
        }
        mServed.updatePeer(instance, use.servedTokens(), nowMillis);
        // Only the dispatcher is sent each change.
        boolean reportsChanges = !use.aggregate() && mLoads.isDispatcher();
        mPeerQueues.updatePeer(instance, use, reportsChanges, nowMillis);
    }

    /** Returns this instance's own use, for its reports to other instances. */
    public PoolUse ownUse(long nowMillis) {
        return collectUse(load -> load.ownUse(nowMillis), false, nowMillis);
    }

    /**
     * Returns the aggregate use of all instances for which this one decides, for its reports to
     * other dispatchers.
     */
    public PoolUse aggregateUse(long nowMillis) {
        return collectUse(load -> load.aggregateUse(nowMillis), true, nowMillis);
    }

    /**
     * Returns this instance's report on its pool.
     *
     * @param useOf returns the use of an upstream, if there is any
     * @param aggregate whether that is the use of all instances for which this one decides, and not
     *     only its own
     */
    private PoolUse collectUse(
            Function<UpstreamLoad, Optional<UpstreamUse>> useOf,
            boolean aggregate,
            long nowMillis) {
        List<UpstreamUse> uses = new ArrayList<>();
        for (UpstreamLoad load : mLoads.all()) {
            useOf.apply(load).ifPresent(uses::add);
        }
        return new PoolUse(
                mService.name(),
                uses,
                mServed.ownTokens(nowMillis),
                mWaiting.tokens(),
                mWaiting.leastServedTokens(mServed, nowMillis),
                aggregate);
    }

    /**
     * Submits a request; returns the decisions that are made now, about this request and about
     * others.
     */
    public List<PoolAction> submit(PoolJob job, long nowMillis) {
        Optional<Quarantine> quarantine = mQuarantine.admit(job.content(), nowMillis);
        if (quarantine.isPresent()) {
            return List.of(refuse(job, quarantine.get(), nowMillis));
        }
        mLoads.refreshRateLimits(nowMillis);
        if (mWaiting.size() >= mSettings.maxWaiting()) {
            return List.of(
                    mRefusals.refuse(job, PoolCause.QUEUE_FULL, throughput(nowMillis), nowMillis));
        }
        for (UpstreamId unreachable : job.unreachable()) {
            // Failures of this instance's own attempts were recorded when the attempts ended.
            if (job.requester().isPresent()) {
                mLoads.find(unreachable)
                        .ifPresent(load -> load.health().recordUnreachable(nowMillis));
            }
        }
        long newTokens = hasEngines() ? fewestNewTokens(cacheCandidates(job, nowMillis)) : 0;
        boolean isLong = mClasses.recordArrival(job, newTokens, mLoads.all(), nowMillis);
        mWaiting.add(job, newTokens, isLong, nowMillis);
        return tick(nowMillis);
    }

    /**
     * Starts a request of this instance as a dispatcher granted it; returns empty if the upstream
     * is not listed here or wants no requests of this instance, or the grant is too old for it.
     */
    public Optional<Ticket> startGranted(
            PoolJob job, PoolDecision.Start start, long ageMillis, long nowMillis) {
        return mLoads.findCurrent(start.upstream(), nowMillis)
                .filter(load -> !mPauses.isPaused(job, load, nowMillis))
                .filter(load -> load.rate().mayBeSent(ageMillis, nowMillis))
                .map(
                        load -> {
                            Ticket ticket = Ticket.ofGrant(load.upstream(), job, start, nowMillis);
                            load.addStarted(ticket, job.prompt().parts());
                            return ticket;
                        });
    }

    /** Takes back a grant to another instance, which starts nothing by it. */
    void revokeGrant(PoolAction.Start start, long nowMillis) {
        load(start.ticket()).ifPresent(load -> load.removeGranted(start.ticket()));
        PoolJob job = start.job();
        mServed.remove(
                job.account(),
                job.prompt().costTokens(),
                start.ticket().startedMillis(),
                nowMillis);
    }

    /** Records that an instance's reports include all its grants up to a number. */
    public void acknowledgeGrants(InstanceId requester, long grant) {
        mLoads.all().forEach(load -> load.acknowledgeGrants(requester, grant));
    }

    /**
     * Returns for each upstream the running requests, the tokens left to prefill and the prefill
     * speed in tokens per millisecond, after the state of the classes if prompts have any.
     */
    public String describeLoad(long nowMillis) {
        return mClasses.describe(mLoads.all(), mWaiting, nowMillis)
                + PoolLogFormat.load(mLoads.all(), nowMillis);
    }

    /** Returns the number of engines that prefill long prompts; 0 if prompts have no classes. */
    public int longPrefills(long nowMillis) {
        return mClasses.longPrefills(mLoads.all(), nowMillis);
    }

    /**
     * Returns for the workspaces with the most waiting requests the number of these and the tokens
     * that the workspace was served.
     */
    public String describeShares(long nowMillis) {
        return PoolLogFormat.shares(mWaiting, mServed, nowMillis);
    }

    /** Returns whether the service's upstreams are model engines. */
    public boolean hasEngines() {
        return mService.engine().isPresent();
    }

    /** Returns the waiting request of another instance's query. */
    public Optional<PoolJob> findWaiting(InstanceId requester, long queryId) {
        return mWaiting.find(requester, queryId);
    }

    /** Removes a waiting request, whose caller disconnected or whose time is over. */
    public void withdraw(PoolJob job) {
        mWaiting.remove(job);
    }

    /** Returns the number of waiting requests. */
    public int waitingCount() {
        return mWaiting.size();
    }

    /** Records the head or an event of an answer; returns whether it was the first. */
    public boolean recordEvent(Ticket ticket, long nowMillis) {
        boolean first = ticket.isPrefilling();
        load(ticket).ifPresent(load -> load.recordFirstEvent(ticket, nowMillis));
        return first && !ticket.isPrefilling();
    }

    /**
     * Records the end of an attempt.
     *
     * @param end how the attempt ended; absent for a complete answer
     * @return the decisions that are made now
     */
    public List<PoolAction> endAttempt(Ticket ticket, Optional<AttemptEnd> end, long nowMillis) {
        if (!ticket.close()) {
            return List.of();
        }
        load(ticket)
                .ifPresent(
                        load -> {
                            load.removeEnded(ticket);
                            load.health().recordEnd(end, nowMillis);
                        });
        return tick(nowMillis);
    }

    private static PoolAction refuse(PoolJob job, Quarantine quarantine, long nowMillis) {
        return new PoolAction.Refuse(
                job, quarantine.endMillis() - nowMillis, PoolCause.QUARANTINED);
    }

    /** Refuses the waiting requests that a quarantine which began meanwhile applies to. */
    private List<PoolAction> refuseQuarantined(long nowMillis) {
        if (mQuarantineVersion == mQuarantine.version()) {
            return List.of();
        }
        mQuarantineVersion = mQuarantine.version();
        List<PoolAction> refusals = new ArrayList<>();
        for (PoolJob job : mWaiting.jobs()) {
            mQuarantine
                    .find(job.content(), nowMillis)
                    .ifPresent(
                            quarantine -> {
                                mWaiting.remove(job);
                                refusals.add(refuse(job, quarantine, nowMillis));
                            });
        }
        return refusals;
    }

    /** Starts the requests for which there is room and refuses those that will be late. */
    public List<PoolAction> tick(long nowMillis) {
        if (mWaiting.size() == 0) {
            return List.of();
        }
        mLoads.refreshRateLimits(nowMillis);
        List<PoolAction> actions = new ArrayList<>(refuseQuarantined(nowMillis));
        if (!mPauses.isEmpty()) {
            actions.addAll(mRefusals.refusePaused(mPauses, throughput(nowMillis), nowMillis));
        }
        while (startNext(actions, nowMillis)) {
            // Each start changes the order of the remaining requests.
        }
        actions.addAll(
                mRefusals.refuseLate(
                        mLoads.lateCause(nowMillis),
                        mAllLeaving,
                        job -> firstEventMillis(job, nowMillis),
                        throughput(nowMillis),
                        nowMillis));
        return actions;
    }

    private boolean startNext(List<PoolAction> actions, long nowMillis) {
        List<UpstreamLoad> withRoom =
                mLoads.all().stream().filter(each -> hasRoom(each, nowMillis)).toList();
        if (withRoom.isEmpty()) {
            return false;
        }
        int skipped = 0;
        PromptClasses.Limit limit = mClasses.limit(mLoads.all(), nowMillis);
        double servedLimit = mPeerQueues.servedLimitTokens(nowMillis);
        double currentServedLimit = mPeerQueues.currentServedLimitTokens(nowMillis);
        Iterator<WaitingJob> order =
                mWaiting.order(mServed, mClasses.isLongFirst(nowMillis), nowMillis);
        while (order.hasNext() && skipped <= MAX_SKIPPED_JOBS) {
            WaitingJob entry = order.next();
            PoolJob job = entry.job();
            if (mPauses.areAllPaused(job, withRoom, nowMillis)) {
                // Requests of other instances behind it may start.
                continue;
            }
            double served = job.answerStarted() ? 0 : mServed.of(job.account(), nowMillis);
            // Less served workspaces have requests waiting at other instances, which go first.
            if (served > currentServedLimit) {
                return false;
            }
            // Periodic reports may be outdated: by these, a request still gets an idle upstream,
            // since the other instances would have used it if they had requests waiting.
            Optional<PoolAction> action =
                    place(entry, withRoom, limit, served <= servedLimit, nowMillis);
            if (action.isPresent()) {
                mWaiting.remove(job);
                mClasses.recordStart(entry, nowMillis);
                actions.add(action.get());
                return true;
            }
            skipped++;
        }
        return false;
    }

    /** Returns whether an upstream can take any further request now. */
    private boolean hasRoom(UpstreamLoad load, long nowMillis) {
        return load.health().isAvailable(nowMillis)
                && load.rate().hasToken(nowMillis)
                && (mService.engine().isEmpty()
                        || PlacementPolicy.hasRoom(load, mService.engine().get(), nowMillis));
    }

    private Throughput throughput(long nowMillis) {
        double meanTokens = (double) mWaiting.tokens() / Math.max(1, mWaiting.size());
        return mLoads.throughput(hasEngines(), meanTokens, nowMillis);
    }

    /**
     * Starts a request at the upstream with the lowest cost that has room. As long as the request
     * may wait for a cached prompt, only upstreams are used that have most of its shared parts
     * cached, because a repeated prefill delays all waiting requests.
     *
     * @param limit the limit on long prompts
     * @param mayUseBusy whether it may use upstreams that are not idle
     */
    private Optional<PoolAction> place(
            WaitingJob entry,
            List<UpstreamLoad> withRoom,
            PromptClasses.Limit limit,
            boolean mayUseBusy,
            long nowMillis) {
        PoolJob job = entry.job();
        long tokensLimit =
                hasEngines() && mayWaitForCache(job, nowMillis)
                        ? fewestNewTokens(entry, nowMillis) + NEGLIGIBLE_PREFILL_TOKENS
                        : Long.MAX_VALUE;
        List<UpstreamLoad> eligible =
                withRoom.stream().filter(each -> isEligible(job, each, nowMillis)).toList();
        return mLoads.candidates(job, eligible).stream()
                .flatMap(each -> score(each, nowMillis).stream())
                .filter(choice -> choice.newTokens() <= tokensLimit)
                .filter(choice -> mayUseBusy || choice.load().isIdle(nowMillis))
                .filter(choice -> limit.allows(job, choice))
                .map(choice -> mClasses.addDelay(choice, nowMillis))
                .min(Comparator.comparingDouble(ScoredCandidate::cost))
                .map(best -> start(job, best, nowMillis));
    }

    private static boolean mayWaitForCache(PoolJob job, long nowMillis) {
        long waitedMillis = nowMillis - job.submittedMillis();
        return !job.answerStarted() && waitedMillis < job.objectiveMillis() * CACHE_WAIT_FRACTION;
    }

    private long fewestNewTokens(WaitingJob entry, long nowMillis) {
        if (!entry.hasRecentNewTokens(nowMillis)) {
            entry.setFewestNewTokens(
                    fewestNewTokens(cacheCandidates(entry.job(), nowMillis)), nowMillis);
        }
        return entry.fewestNewTokens();
    }

    /** Returns the fewest tokens that any of the candidates would have to prefill. */
    private static long fewestNewTokens(List<Candidate> candidates) {
        return Candidate.fewestNewTokens(candidates, Long.MAX_VALUE - NEGLIGIBLE_PREFILL_TOKENS);
    }

    private Optional<ScoredCandidate> score(Candidate candidate, long nowMillis) {
        return hasEngines()
                ? PlacementPolicy.scoreEngine(candidate, mService.engine().get(), nowMillis)
                : PlacementPolicy.scorePlainService(candidate.job(), candidate.load(), nowMillis);
    }

    /**
     * Returns the upstreams for whose cached prompts a request may wait: those that accept requests
     * and whose rate limit does not hold them back.
     */
    private List<Candidate> cacheCandidates(PoolJob job, long nowMillis) {
        return mLoads.candidates(
                job,
                mLoads.all().stream()
                        .filter(each -> isEligible(job, each, nowMillis))
                        .filter(each -> each.rate().hasToken(nowMillis))
                        .toList());
    }

    private boolean isEligible(PoolJob job, UpstreamLoad load, long nowMillis) {
        boolean excluded =
                job.excluded().contains(load.upstream().id()) && mPauses.hasOther(job, nowMillis);
        return !excluded
                && load.health().isAvailable(nowMillis)
                && !mPauses.isPaused(job, load, nowMillis);
    }

    private PoolAction start(PoolJob job, ScoredCandidate choice, long nowMillis) {
        UpstreamLoad load = choice.load();
        load.health().recordStart(nowMillis);
        load.rate().takeToken(nowMillis);
        Optional<EngineSpec> engine = mService.engine();
        long memoryTokens =
                engine.isPresent() ? PlacementPolicy.memoryTokens(job, choice.newTokens()) : 0;
        Ticket ticket =
                new Ticket(
                        load.upstream(),
                        choice.newTokens(),
                        memoryTokens,
                        load.prefillTokens(nowMillis),
                        nowMillis);
        if (job.requester().isPresent()) {
            load.addGranted(job.requester().get(), ++mLastGrant, ticket, job.prompt().parts());
        } else {
            load.addStarted(ticket, job.prompt().parts());
        }
        mServed.add(job.account(), job.prompt().costTokens(), nowMillis);
        PoolCause cause =
                job.submittedMillis() == nowMillis ? PoolCause.ROOM : PoolCause.ROOM_AFTER_WAIT;
        return new PoolAction.Start(job, ticket, mLastGrant, cause);
    }

    private long firstEventMillis(PoolJob job, long nowMillis) {
        return mLoads.candidates(job, mLoads.all()).stream()
                .mapToLong(
                        each ->
                                mClasses.firstEventMillis(each, nowMillis)
                                        + mPauses.remainingMillis(job, each.load(), nowMillis))
                .min()
                .orElse(Long.MAX_VALUE);
    }

    private Optional<UpstreamLoad> load(Ticket ticket) {
        return mLoads.find(ticket);
    }
}
