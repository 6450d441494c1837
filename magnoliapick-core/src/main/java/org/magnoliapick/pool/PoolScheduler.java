package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.relay.Prompt;
import org.magnoliapick.request.AttemptEnd;
import org.magnoliapick.route.EngineSpec;
import org.magnoliapick.route.ServiceSpec;

/**
 * Decides for the requests of one service which goes to which upstream, which waits and which is
 * refused. Order is kept here because engines take requests as they come: little is sent ahead, the
 * least served workspace goes first, and what cannot be on time is refused while its caller can
 * still use the answer.
 */
public final class PoolScheduler {
    /** The part of its objective that a request waits for an upstream that keeps its prompt. */
    private static final double KEPT_WAIT_SHARE = 0.35;

    /** Tokens that are not worth waiting for: a few milliseconds of reading. */
    private static final long NEGLIGIBLE_TOKENS = 512;

    /** How many requests that fit nowhere are passed over, such as those too large for now. */
    private static final int MOST_PASSED_OVER = 40;

    /** The part of its time that an engine reads prompts when it is full. */
    private static final double READING_SHARE = 0.7;

    private final PoolSettings mSettings;
    private final ServedTokens mServed;
    private final Map<UpstreamId, UpstreamLoad> mLoads = new HashMap<>();
    private final WaitingJobs mWaiting = new WaitingJobs();
    private final PeerQueues mLevels = new PeerQueues();
    private final PreferredUpstreams mHomes = new PreferredUpstreams();
    private final Refusals mRefusals;
    private ServiceSpec mService;
    private long mGrants;

    /** Creates a pool without upstreams. */
    public PoolScheduler(ServiceSpec service, PoolSettings settings) {
        mService = service;
        mSettings = settings;
        mServed = new ServedTokens(settings.shareWindowMillis());
        mRefusals = new Refusals(settings, mWaiting, mServed, mLevels);
    }

    /** Takes over what the operator says of the service now. */
    public void configure(ServiceSpec service) {
        mService = service;
    }

    /** Takes over the upstreams that may get new work. */
    public void setUpstreams(List<ListedUpstream> upstreams) {
        Map<UpstreamId, ListedUpstream> byId = new HashMap<>();
        upstreams.forEach(each -> byId.put(each.id(), each));
        mLoads.keySet().retainAll(byId.keySet());
        byId.values().forEach(this::setUpstreams);
        mHomes.listed(byId.keySet());
    }

    private void setUpstreams(ListedUpstream upstream) {
        UpstreamLoad load = mLoads.get(upstream.id());
        if (load == null) {
            mLoads.put(upstream.id(), new UpstreamLoad(upstream, mService.engine()));
        } else {
            load.listed(upstream);
        }
    }

    /** Takes what another instance told of its use. */
    public void updatePeer(InstanceId instance, PoolUse use, long nowMillis) {
        Map<UpstreamId, UpstreamUse> uses = new HashMap<>();
        use.uses().forEach(each -> uses.put(each.upstream(), each));
        mLoads.forEach(
                (id, load) ->
                        load.peer(
                                instance,
                                Optional.ofNullable(uses.get(id)),
                                use.aggregate(),
                                nowMillis));
        mServed.peer(instance, use.servedTokens(), nowMillis);
        mLevels.peer(instance, use, !use.aggregate(), nowMillis);
    }

    /** Returns this instance's own use, to tell the others. */
    public PoolUse ownUse(long nowMillis) {
        return use(UpstreamLoad::own, false, nowMillis);
    }

    /** Returns the use of all for whom this instance decides, to tell others that decide. */
    public PoolUse aggregateUse(long nowMillis) {
        return use(load -> load.whole(nowMillis), true, nowMillis);
    }

    private PoolUse use(
            Function<UpstreamLoad, Optional<UpstreamUse>> part, boolean whole, long nowMillis) {
        List<UpstreamUse> uses = new ArrayList<>();
        for (UpstreamLoad load : mLoads.values()) {
            part.apply(load).ifPresent(uses::add);
        }
        return new PoolUse(
                mService.name(),
                uses,
                mServed.own(nowMillis),
                mWaiting.tokens(),
                mWaiting.leastServed(mServed, nowMillis),
                whole);
    }

    /** Takes a request; returns what is decided now, about it and about others. */
    public List<PoolAction> submit(PoolJob job, long nowMillis) {
        if (mWaiting.size() >= mSettings.maxWaiting()) {
            return List.of(
                    mRefusals.refuse(
                            job, PoolCause.QUEUE_FULL, readPerMilli(nowMillis), nowMillis));
        }
        for (UpstreamId lost : job.unreachable()) {
            UpstreamLoad load = mLoads.get(lost);
            if (load != null && job.requester().isPresent()) {
                load.health().lost(nowMillis);
            }
        }
        long newTokens = hasEngines() ? fewestNewTokens(weighTakers(job, nowMillis)) : 0;
        mWaiting.add(job, newTokens, nowMillis);
        return tick(nowMillis);
    }

    /**
     * Takes over what a dispatcher decided for a request of this instance; empty if the upstream is
     * not known here.
     */
    public Optional<Ticket> startGranted(PoolJob job, PoolDecision.Start start, long nowMillis) {
        UpstreamLoad load = mLoads.get(start.upstream());
        if (load == null) {
            return Optional.empty();
        }
        Ticket ticket =
                new Ticket(
                        load.upstream(),
                        start.newTokens(),
                        PlacementPolicy.memoryTokens(job, start.newTokens()),
                        start.aheadTokens(),
                        nowMillis);
        load.started(ticket, job.prompt().parts());
        return Optional.of(ticket);
    }

    /** Notes that an instance's reports hold what it was granted up to a number. */
    public void acknowledgeGrants(InstanceId asker, long grant) {
        mLoads.values().forEach(load -> load.reported(asker, grant));
    }

    /** Returns for each upstream requests running, tokens to read and tokens read in a ms. */
    public String describeLoad(long nowMillis) {
        return PoolLogFormat.load(mLoads, nowMillis);
    }

    /** Returns for each workspace that waits its waiting requests and the tokens it was served. */
    public String describeShares(long nowMillis) {
        return PoolLogFormat.shares(mWaiting, mServed, nowMillis);
    }

    /** Returns whether the service's upstreams are model engines. */
    public boolean hasEngines() {
        return mService.engine().isPresent();
    }

    /** Returns the question that waits here under an asker's number. */
    public Optional<PoolJob> findWaiting(InstanceId asker, long number) {
        return mWaiting.find(asker, number);
    }

    /** Drops a waiting request whose caller left or whose time is over. */
    public void withdraw(PoolJob job) {
        mWaiting.remove(job);
    }

    /** Returns how many requests wait. */
    public int waitingCount() {
        return mWaiting.size();
    }

    /** Notes an event or the head of an answer; returns whether it was the first. */
    public boolean recordEvent(Ticket ticket, long nowMillis) {
        boolean first = ticket.reading();
        load(ticket).ifPresent(load -> load.firstEvent(ticket, nowMillis));
        return first && !ticket.reading();
    }

    /** Notes the end of an attempt; an absent end stands for a whole answer. */
    public List<PoolAction> endAttempt(Ticket ticket, Optional<AttemptEnd> end, long nowMillis) {
        if (!ticket.close()) {
            return List.of();
        }
        load(ticket)
                .ifPresent(
                        load -> {
                            load.ended(ticket);
                            load.health().ended(end, nowMillis);
                        });
        return tick(nowMillis);
    }

    /** Starts what has room and refuses what will be too late. */
    public List<PoolAction> tick(long nowMillis) {
        if (mWaiting.size() == 0) {
            return List.of();
        }
        List<PoolAction> actions = new ArrayList<>();
        while (startNext(actions, nowMillis)) {
            // Each start changes the order of what is left.
        }
        actions.addAll(
                mRefusals.late(
                        mLoads.isEmpty() ? PoolCause.NO_UPSTREAM : PoolCause.TOO_LATE,
                        job -> firstEventMillis(job, nowMillis),
                        readPerMilli(nowMillis),
                        nowMillis));
        return actions;
    }

    private boolean startNext(List<PoolAction> actions, long nowMillis) {
        List<UpstreamLoad> open =
                mLoads.values().stream().filter(each -> hasRoom(each, nowMillis)).toList();
        if (open.isEmpty()) {
            return false;
        }
        int passedOver = 0;
        double leastTokens = mLevels.leastTokens(nowMillis);
        double leastTokensAtOnce = mLevels.leastTokensKnownAtOnce(nowMillis);
        Iterator<WaitingJob> order = mWaiting.order(mServed, nowMillis);
        while (order.hasNext() && passedOver <= MOST_PASSED_OVER) {
            WaitingJob entry = order.next();
            // Others hold requests of workspaces that were served less: it is not this one's turn.
            PoolJob job = entry.job();
            double served = job.answerStarted() ? 0 : mServed.of(job.account(), nowMillis);
            if (served > leastTokensAtOnce) {
                return false;
            }
            // Where that is old news it gets what is idle, which they would have taken else.
            Optional<PoolAction> action = place(entry, open, served <= leastTokens, nowMillis);
            if (action.isPresent()) {
                mWaiting.remove(job);
                actions.add(action.get());
                return true;
            }
            passedOver++;
        }
        return false;
    }

    /** Returns whether an upstream could take any request at all. */
    private boolean hasRoom(UpstreamLoad load, long nowMillis) {
        return load.health().takesWork(nowMillis)
                && (mService.engine().isEmpty()
                        || PlacementPolicy.hasRoom(load, mService.engine().get(), nowMillis));
    }

    /** Returns how many tokens all engines together read in a millisecond; 0 without engines. */
    private double readPerMilli(long nowMillis) {
        double perMilli = 0;
        if (!hasEngines()) {
            return perMilli;
        }
        for (UpstreamLoad load : mLoads.values()) {
            perMilli += load.tokensPerMilli(nowMillis) * READING_SHARE;
        }
        return perMilli;
    }

    /**
     * Starts a request at the best upstream that has room. While there is time, it goes only where
     * most of what it shares with others is kept: reading that again costs all who wait.
     *
     * @param turn whether it may take what is scarce
     */
    private Optional<PoolAction> place(
            WaitingJob entry, List<UpstreamLoad> open, boolean turn, long nowMillis) {
        PoolJob job = entry.job();
        long tokensLimit =
                hasEngines() && mayWaitForKept(job, nowMillis)
                        ? fewestNewTokens(entry, nowMillis) + NEGLIGIBLE_TOKENS
                        : Long.MAX_VALUE;
        List<UpstreamLoad> takers =
                open.stream().filter(each -> mayTake(job, each, nowMillis)).toList();
        return weigh(job, takers).stream()
                .flatMap(each -> choice(each, nowMillis).stream())
                .filter(choice -> choice.newTokens() <= tokensLimit)
                .filter(choice -> turn || choice.load().idle(nowMillis))
                .min(Comparator.comparingDouble(ScoredCandidate::cost))
                .map(best -> start(job, best, nowMillis));
    }

    private static boolean mayWaitForKept(PoolJob job, long nowMillis) {
        long waitedMillis = nowMillis - job.submittedMillis();
        return !job.answerStarted() && waitedMillis < job.objectiveMillis() * KEPT_WAIT_SHARE;
    }

    private long fewestNewTokens(WaitingJob entry, long nowMillis) {
        if (!entry.weighedLately(nowMillis)) {
            entry.weighed(fewestNewTokens(weighTakers(entry.job(), nowMillis)), nowMillis);
        }
        return entry.fewestNewTokens();
    }

    /** Returns how little would have to be read at the best of some upstreams. */
    private static long fewestNewTokens(List<Candidate> weighings) {
        return weighings.stream()
                .mapToLong(Candidate::newTokens)
                .min()
                .orElse(Long.MAX_VALUE - NEGLIGIBLE_TOKENS);
    }

    private Optional<ScoredCandidate> choice(Candidate weighing, long nowMillis) {
        return hasEngines()
                ? PlacementPolicy.engine(weighing, mService.engine().get(), nowMillis)
                : PlacementPolicy.plain(weighing.job(), weighing.load(), nowMillis);
    }

    /** Weighs the upstreams that take work now for a request. */
    private List<Candidate> weighTakers(PoolJob job, long nowMillis) {
        return weigh(
                job,
                mLoads.values().stream().filter(each -> mayTake(job, each, nowMillis)).toList());
    }

    private boolean mayTake(PoolJob job, UpstreamLoad load, long nowMillis) {
        boolean excluded =
                job.excluded().contains(load.upstream().id())
                        && job.excluded().size() < mLoads.size();
        return !excluded && load.health().takesWork(nowMillis);
    }

    private List<Candidate> weigh(PoolJob job, Collection<UpstreamLoad> loads) {
        Prompt prompt = job.prompt();
        Optional<UpstreamId> home = mHomes.home(prompt.parts());
        List<Candidate> weighings = new ArrayList<>(loads.size());
        for (UpstreamLoad load : loads) {
            boolean isHome = home.filter(load.upstream().id()::equals).isPresent();
            weighings.add(new Candidate(job, load, load.newTokens(prompt, isHome)));
        }
        return weighings;
    }

    private PoolAction start(PoolJob job, ScoredCandidate choice, long nowMillis) {
        UpstreamLoad load = choice.load();
        load.health().tried(nowMillis);
        Optional<EngineSpec> engine = mService.engine();
        long memoryTokens = engine.isPresent() ? PlacementPolicy.memoryTokens(job, choice.newTokens()) : 0;
        Ticket ticket =
                new Ticket(
                        load.upstream(),
                        choice.newTokens(),
                        memoryTokens,
                        load.readingTokens(nowMillis),
                        nowMillis);
        if (job.requester().isPresent()) {
            load.granted(job.requester().get(), ++mGrants, ticket, job.prompt().parts());
        } else {
            load.started(ticket, job.prompt().parts());
        }
        mServed.served(job.account(), job.prompt().costTokens(), nowMillis);
        PoolCause cause =
                job.submittedMillis() == nowMillis ? PoolCause.ROOM : PoolCause.ROOM_AFTER_WAIT;
        return new PoolAction.Start(job, ticket, mGrants, cause);
    }

    private long firstEventMillis(PoolJob job, long nowMillis) {
        return weigh(job, mLoads.values()).stream()
                .mapToLong(each -> each.load().firstEventMillis(each.newTokens(), nowMillis))
                .min()
                .orElse(Long.MAX_VALUE);
    }

    private Optional<UpstreamLoad> load(Ticket ticket) {
        return Optional.ofNullable(mLoads.get(ticket.upstream().id()))
                .filter(load -> load.upstream().sameIncarnation(ticket.upstream()));
    }
}
