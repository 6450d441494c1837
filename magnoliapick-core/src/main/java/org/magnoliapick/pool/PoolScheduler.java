package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.UpstreamId;
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
    /** The part of its objective that a request may wait before it is refused as too late. */
    private static final double FREE_WAIT_SHARE = 0.125;

    /** The part of its time that an engine reads prompts when it is full. */
    private static final double READING_SHARE = 0.7;

    private final PoolSettings mSettings;
    private final ServedWindow mServed;
    private final Map<UpstreamId, UpstreamLoad> mLoads = new HashMap<>();
    private final WaitingJobs mWaiting = new WaitingJobs();
    private final WaitingLevels mLevels = new WaitingLevels();
    private final HomeUpstreams mHomes = new HomeUpstreams();
    private ServiceSpec mService;
    private long mGrants;

    /** Creates a pool without upstreams. */
    public PoolScheduler(ServiceSpec service, PoolSettings settings) {
        mService = service;
        mSettings = settings;
        mServed = new ServedWindow(settings.shareWindowMillis());
    }

    /** Takes over what the operator says of the service now. */
    public void configure(ServiceSpec service) {
        mService = service;
    }

    /** Takes over the upstreams that may get new work. */
    public void listed(List<ListedUpstream> upstreams) {
        Map<UpstreamId, ListedUpstream> byId = new HashMap<>();
        upstreams.forEach(each -> byId.put(each.id(), each));
        mLoads.keySet().retainAll(byId.keySet());
        byId.values().forEach(this::listed);
        mHomes.listed(byId.keySet());
    }

    private void listed(ListedUpstream upstream) {
        UpstreamLoad load = mLoads.get(upstream.id());
        if (load == null) {
            mLoads.put(upstream.id(), new UpstreamLoad(upstream, mService.engine()));
        } else {
            load.listed(upstream);
        }
    }

    /** Takes what another instance told of its use. */
    public void peer(InstanceId instance, PoolUse use, long nowMillis) {
        Map<UpstreamId, UpstreamUse> uses = new HashMap<>();
        use.uses().forEach(each -> uses.put(each.upstream(), each));
        mLoads.forEach(
                (id, load) -> load.peer(instance, Optional.ofNullable(uses.get(id)), nowMillis));
        mServed.peer(instance, use.servedTokens(), nowMillis);
        mLevels.peer(instance, use, nowMillis);
    }

    /** Returns this instance's own use, to tell the others. */
    public PoolUse own(long nowMillis) {
        List<UpstreamUse> uses = new ArrayList<>();
        for (UpstreamLoad load : mLoads.values()) {
            load.own().ifPresent(uses::add);
        }
        return new PoolUse(
                mService.name(),
                uses,
                mServed.own(nowMillis),
                mWaiting.tokens(),
                mWaiting.leastServed(mServed, nowMillis));
    }

    /** Takes a request; returns what is decided now, about it and about others. */
    public List<PoolAction> submit(PoolJob job, long nowMillis) {
        if (mWaiting.size() >= mSettings.maxWaiting()) {
            return List.of(refuse(job, PoolCause.QUEUE_FULL, nowMillis));
        }
        for (UpstreamId lost : job.lost()) {
            UpstreamLoad load = mLoads.get(lost);
            if (load != null && job.asker().isPresent()) {
                load.health().lost(nowMillis);
            }
        }
        mWaiting.add(job);
        return tick(nowMillis);
    }

    /**
     * Takes over what a dispatcher decided for a request of this instance; empty if the upstream is
     * not known here.
     */
    public Optional<Ticket> adopt(PoolJob job, PoolDecision.Start start, long nowMillis) {
        UpstreamLoad load = mLoads.get(start.upstream());
        if (load == null) {
            return Optional.empty();
        }
        Ticket ticket =
                new Ticket(
                        load.upstream(),
                        job.account(),
                        start.newTokens(),
                        Placing.memoryTokens(job),
                        start.aheadTokens(),
                        nowMillis);
        load.started(ticket, job.prompt().parts());
        return Optional.of(ticket);
    }

    /** Notes that an instance's reports hold what it was granted up to a number. */
    public void reported(InstanceId asker, long grant) {
        mLoads.values().forEach(load -> load.reported(asker, grant));
    }

    /** Returns for each upstream requests running, tokens to read and tokens read in a ms. */
    public String describeLoad(long nowMillis) {
        StringBuilder text = new StringBuilder();
        mLoads.forEach(
                (id, load) ->
                        text.append(id)
                                .append(':')
                                .append(load.running(nowMillis))
                                .append('/')
                                .append(load.readingTokens(nowMillis))
                                .append('/')
                                .append(Math.round(load.tokensPerMilli(nowMillis)))
                                .append(' '));
        return text.toString().trim();
    }

    /** Returns whether the service's upstreams are model engines. */
    public boolean hasEngines() {
        return mService.engine().isPresent();
    }

    /** Returns the question that waits here under an asker's number. */
    public Optional<PoolJob> waiting(InstanceId asker, long number) {
        return mWaiting.find(asker, number);
    }

    /** Drops a waiting request whose caller left or whose time is over. */
    public void withdraw(PoolJob job) {
        mWaiting.remove(job);
    }

    /** Returns how many requests wait. */
    public int waiting() {
        return mWaiting.size();
    }

    /** Notes the first event or the head of an answer. */
    public void answering(Ticket ticket, long nowMillis) {
        load(ticket).ifPresent(load -> load.firstEvent(ticket, nowMillis));
    }

    /** Notes the end of an attempt; an absent end stands for a whole answer. */
    public List<PoolAction> ended(Ticket ticket, Optional<AttemptEnd> end, long nowMillis) {
        if (!ticket.close()) {
            return List.of();
        }
        load(ticket)
                .ifPresent(
                        load -> {
                            load.ended(ticket);
                            note(load.health(), end, nowMillis);
                        });
        return tick(nowMillis);
    }

    private static void note(UpstreamHealth health, Optional<AttemptEnd> end, long nowMillis) {
        if (end.isEmpty()) {
            health.succeeded();
            return;
        }
        AttemptEnd failure = end.orElseThrow();
        if (failure.loses()) {
            health.lost(nowMillis);
        } else if (failure != AttemptEnd.CANCELLED) {
            health.failed();
        }
    }

    /** Starts what has room and refuses what will be too late. */
    public List<PoolAction> tick(long nowMillis) {
        List<PoolAction> actions = new ArrayList<>();
        while (pass(actions, nowMillis)) {
            // Each start changes the order of what is left.
        }
        return actions;
    }

    /** Looks at all in order until one starts; returns whether one did. */
    private boolean pass(List<PoolAction> actions, long nowMillis) {
        PlacementPass pass = new PlacementPass(mLoads.values(), mHomes, mService, nowMillis);
        for (PoolJob job : mWaiting.order(mServed, nowMillis)) {
            Optional<Choice> best = pass.best(job);
            boolean turn = job.underWay() || isTurn(job, nowMillis);
            if (turn && best.isPresent() && best.get().room()) {
                mWaiting.remove(job);
                actions.add(start(job, best.get(), nowMillis));
                return true;
            }
            Optional<PoolCause> cause = tooLate(job, best, nowMillis);
            if (cause.isPresent()) {
                mWaiting.remove(job);
                actions.add(refuse(job, cause.get(), nowMillis));
            } else {
                best.ifPresent(pass::waitsFor);
            }
        }
        return false;
    }

    private static Optional<PoolCause> tooLate(
            PoolJob job, Optional<Choice> best, long nowMillis) {
        long freeWait = (long) (job.objectiveMillis() * FREE_WAIT_SHARE);
        if (job.underWay() || nowMillis - job.submittedMillis() < freeWait) {
            return Optional.empty();
        }
        if (best.isEmpty()) {
            return Optional.of(PoolCause.NO_UPSTREAM);
        }
        return nowMillis + best.get().firstMillis() > job.onTimeMillis()
                ? Optional.of(PoolCause.TOO_LATE)
                : Optional.empty();
    }

    /** Returns how long the upstreams take to read what waits over the fleet, in milliseconds. */
    private long queueMillis(long nowMillis) {
        double perMilli = 0;
        for (UpstreamLoad load : mLoads.values()) {
            perMilli += load.tokensPerMilli(nowMillis) * READING_SHARE;
        }
        long tokens = mWaiting.tokens() + mLevels.waitingTokens(nowMillis);
        return perMilli == 0 ? 0 : (long) (tokens / perMilli);
    }

    /** Returns whether no other instance holds a request of a workspace that was served less. */
    private boolean isTurn(PoolJob job, long nowMillis) {
        return mServed.of(job.account(), nowMillis) <= mLevels.leastTokens(nowMillis);
    }

    private PoolAction start(PoolJob job, Choice choice, long nowMillis) {
        UpstreamLoad load = choice.load();
        load.health().tried(nowMillis);
        Optional<EngineSpec> engine = mService.engine();
        long memoryTokens = engine.isPresent() ? Placing.memoryTokens(job) : 0;
        Ticket ticket =
                new Ticket(
                        load.upstream(),
                        job.account(),
                        choice.newTokens(),
                        memoryTokens,
                        load.readingTokens(nowMillis),
                        nowMillis);
        if (job.asker().isPresent()) {
            load.granted(job.asker().get(), ++mGrants, ticket, job.prompt().parts());
        } else {
            load.started(ticket, job.prompt().parts());
        }
        mServed.served(job.account(), job.prompt().shareTokens(), nowMillis);
        PoolCause cause =
                job.submittedMillis() == nowMillis ? PoolCause.ROOM : PoolCause.ROOM_AFTER_WAIT;
        return new PoolAction.Start(job, ticket, mGrants, cause);
    }

    private PoolAction refuse(PoolJob job, PoolCause cause, long nowMillis) {
        return new PoolAction.Refuse(job, retryAfterMillis(job, nowMillis), cause);
    }

    /**
     * Returns when a refused caller should come back: once what waits now is done, and its
     * workspace is no further ahead of those that wait; spread, so that not all come together.
     */
    private long retryAfterMillis(PoolJob job, long nowMillis) {
        double served = mServed.of(job.account(), nowMillis);
        double level = Math.max(1, Math.min(served, mLevels.leastTokens(nowMillis)));
        double aheadMillis =
                served <= level ? 0 : mSettings.shareWindowMillis() * Math.log(served / level);
        double queueMillis = queueMillis(nowMillis);
        double leastMillis = job.objectiveMillis();
        double spread = 0.75 + 0.5 * ((job.id().hashCode() & 0xff) / 256.0);
        return (long) (spread * Math.max(leastMillis, Math.max(aheadMillis, queueMillis)));
    }

    private Optional<UpstreamLoad> load(Ticket ticket) {
        return Optional.ofNullable(mLoads.get(ticket.upstream().id()))
                .filter(load -> load.upstream().sameLife(ticket.upstream()));
    }
}
