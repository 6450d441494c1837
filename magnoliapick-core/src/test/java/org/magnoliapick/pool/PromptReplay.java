package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.WorkspaceId;
import org.magnoliapick.limit.RateLimits;
import org.magnoliapick.limit.UpstreamPauses;
import org.magnoliapick.quarantine.PromptQuarantine;
import org.magnoliapick.relay.Fingerprint;
import org.magnoliapick.relay.Prompt;
import org.magnoliapick.relay.PromptPart;
import org.magnoliapick.route.EngineSpec;
import org.magnoliapick.route.ServiceSpec;

/**
 * A replay in virtual time of prompts of several kinds at the same engines. Instances send queries
 * to a dispatcher and report their use to it at each change and every 100 ms.
 */
final class PromptReplay {
    private static final long MESSAGE_MILLIS = 1;
    private static final long TICK_MILLIS = 10;
    private static final long REPORT_MILLIS = 100;

    /** Time without a dispatcher after one is lost: the detection of the loss. */
    private static final long TAKEOVER_MILLIS = 300;

    private static final ServiceSpec SERVICE =
            new ServiceSpec("s", 200, Optional.of(new EngineSpec(64, 400_000, 5)));

    private final VirtualTime mTime = new VirtualTime();
    private final Random mRandom;
    private final List<Instance> mInstances = new ArrayList<>();
    private final Map<String, ChunkedEngine> mEngines = new HashMap<>();
    private final List<ListedUpstream> mListed = new ArrayList<>();
    private final List<Request> mRequests = new ArrayList<>();
    private final StringBuilder mDecisions = new StringBuilder();
    private Optional<Instance> mDispatcher;
    private long mLastNumber;

    /**
     * A kind of requests.
     *
     * @param meanTokens the mean length of prompts
     * @param spread the standard deviation of the logarithm of the length
     * @param hintFactor what callers state as output, in relation to the true one
     */
    record Kind(
            String name,
            int meanTokens,
            double spread,
            long objectiveMillis,
            long gapMillis,
            int outputTokens,
            double hintFactor) {
        private static final int MAX_TOKENS = 54_600;

        private int tokens(Random random) {
            double scale = meanTokens * Math.exp(-spread * spread / 2);
            double tokens = scale * Math.exp(spread * random.nextGaussian());
            return (int) Math.max(20, Math.min(MAX_TOKENS, tokens));
        }

        Kind withHints(double factor) {
            return new Kind(
                    name, meanTokens, spread, objectiveMillis, gapMillis, outputTokens, factor);
        }
    }

    /** Creates a fleet of instances with engines that read 39 to 112 tokens per millisecond. */
    PromptReplay(PoolSettings settings, int instances, int engines, long seed) {
        mRandom = new Random(seed);
        for (int i = 0; i < engines; i++) {
            ListedUpstream upstream = Jobs.upstream("e" + i);
            double speed = 39 + (112 - 39) * (i + 0.5) / engines;
            mListed.add(upstream);
            mEngines.put(
                    upstream.id().value(),
                    new ChunkedEngine(upstream, speed, i % 2 == 0 ? 2_048 : 4_096, mTime));
        }
        for (int i = 0; i < instances; i++) {
            mInstances.add(new Instance(i, settings));
        }
        mDispatcher = Optional.of(mInstances.get(0));
        mInstances.forEach(Instance::tick);
        mInstances.forEach(Instance::reportPeriodically);
    }

    /** Runs an action at a time. */
    void at(long millis, Runnable action) {
        mTime.at(millis, action);
    }

    void runUntil(long millis) {
        mTime.runUntil(millis);
    }

    ChunkedEngine engine(int number) {
        return mEngines.get("e" + number);
    }

    /** Returns each decision in order, to compare two runs. */
    String decisions() {
        return mDecisions.toString();
    }

    /** Loses the dispatcher; requests that it holds itself are not replaced. */
    void loseDispatcher() {
        Instance lost = mDispatcher.orElseThrow();
        mInstances.remove(lost);
        mDispatcher = Optional.empty();
        mInstances.forEach(each -> each.mPool.scheduler().setShare(share(each), now()));
        mTime.after(TAKEOVER_MILLIS, () -> mDispatcher = Optional.of(mInstances.get(0)));
    }

    private FleetShare share(Instance instance) {
        boolean dispatcher = mDispatcher.filter(each -> each == instance).isPresent();
        int count = mInstances.size();
        return new FleetShare(dispatcher ? 1 : 1.0 / count, dispatcher, 0, count, count);
    }

    /** Sends requests of a kind at random times, with the given mean rate. */
    void send(Kind kind, String workspace, double perSecond, long fromMillis, long untilMillis) {
        double atMillis = fromMillis;
        while (true) {
            atMillis += -Math.log(1 - mRandom.nextDouble()) * 1_000 / perSecond;
            if (atMillis >= untilMillis) {
                return;
            }
            int tokens = kind.tokens(mRandom);
            mTime.at((long) atMillis, () -> send(kind, workspace, tokens));
        }
    }

    /** Sends one request now. */
    void send(Kind kind, String workspace, int tokens) {
        Request request = new Request(kind, workspace, tokens);
        mRequests.add(request);
        request.mInstance.submit(request);
    }

    private long now() {
        return mTime.nowMillis();
    }

    /** Returns the requests of a kind that arrived in a time. */
    Result result(String kind, long fromMillis, long untilMillis) {
        return new Result(
                mRequests.stream()
                        .filter(each -> kind.isEmpty() || each.mKind.name().equals(kind))
                        .filter(each -> each.mArrivedMillis >= fromMillis)
                        .filter(each -> each.mArrivedMillis < untilMillis)
                        .sorted(Comparator.comparingInt(each -> each.mTokens))
                        .toList());
    }

    /** What became of requests, which are ordered by the length of their prompts. */
    record Result(List<Request> requests) {
        /** Returns the fraction with the first event within the objective. */
        double onTime() {
            return fraction(requests, Request::isOnTime);
        }

        double served() {
            return fraction(requests, Request::isServed);
        }

        /** Returns the fraction of served requests with a pause above the objective. */
        double paused() {
            List<Request> served = requests.stream().filter(Request::isServed).toList();
            return fraction(served, each -> each.mMaxGapMillis > each.mKind.gapMillis());
        }

        /** Returns how often the largest tenth is served, in relation to all. */
        double largestTenth() {
            return relative(0.9, 1);
        }

        /** Returns the same for the fifth below the largest tenth. */
        double nextFifth() {
            return relative(0.7, 0.9);
        }

        /** Returns the prompt tokens that workspaces were served. */
        long servedTokens(String... workspaces) {
            return requests.stream()
                    .filter(Request::isServed)
                    .filter(each -> Set.of(workspaces).contains(each.mWorkspace))
                    .mapToLong(each -> each.mTokens)
                    .sum();
        }

        private double relative(double from, double to) {
            int size = requests.size();
            List<Request> part = requests.subList((int) (from * size), (int) (to * size));
            return fraction(part, Request::isServed) / served();
        }

        private static double fraction(
                List<Request> requests, java.util.function.Predicate<Request> test) {
            return requests.isEmpty()
                    ? 1
                    : (double) requests.stream().filter(test).count() / requests.size();
        }

        @Override
        public String toString() {
            return String.format(
                    Locale.ROOT,
                    "%d | %.3f | %.3f | %.3f | %.2f | %.2f",
                    requests.size(),
                    onTime(),
                    served(),
                    paused(),
                    largestTenth(),
                    nextFifth());
        }
    }

    /** One request with what its caller observes. */
    final class Request {
        private final Kind mKind;
        private final String mWorkspace;
        private final int mTokens;
        private final long mArrivedMillis = now();
        private final Instance mInstance;
        private final PoolJob mJob;
        private Ticket mTicket;
        private long mFirstEventMillis = -1;
        private long mLastEventMillis;
        private long mMaxGapMillis;
        private boolean mServed;

        private Request(Kind kind, String workspace, int tokens) {
            mKind = kind;
            mWorkspace = workspace;
            mTokens = tokens;
            mInstance = mInstances.get(mRandom.nextInt(mInstances.size()));
            long number = ++mLastNumber;
            int hint = (int) Math.max(1, kind.outputTokens() * kind.hintFactor());
            mJob =
                    new PoolJob(
                            "r" + number,
                            "s",
                            new WorkspaceId(workspace),
                            Jobs.DOMAIN,
                            new Prompt(tokens, hint, List.of(new PromptPart("o" + number, tokens))),
                            new Fingerprint(number),
                            kind.objectiveMillis(),
                            now() + kind.objectiveMillis(),
                            false,
                            Set.of(),
                            Set.of(),
                            false,
                            1,
                            now(),
                            Optional.empty(),
                            number);
        }

        boolean isServed() {
            return mServed;
        }

        boolean isOnTime() {
            return mFirstEventMillis >= 0
                    && mFirstEventMillis - mArrivedMillis <= mKind.objectiveMillis();
        }

        private void start(Ticket ticket) {
            mTicket = ticket;
            ChunkedEngine engine = mEngines.get(ticket.upstream().id().value());
            mTime.after(
                    MESSAGE_MILLIS,
                    () ->
                            engine.arrive(
                                    mTokens,
                                    mKind.outputTokens(),
                                    last -> mTime.after(MESSAGE_MILLIS, () -> event(last))));
        }

        private void event(boolean last) {
            if (mFirstEventMillis < 0) {
                mFirstEventMillis = now();
            } else {
                mMaxGapMillis = Math.max(mMaxGapMillis, now() - mLastEventMillis);
            }
            mLastEventMillis = now();
            boolean changed = mInstance.mPool.scheduler().recordEvent(mTicket, now());
            if (last) {
                mServed = true;
                mInstance.execute(
                        mInstance.mPool.localActions(
                                mInstance
                                        .mPool
                                        .scheduler()
                                        .endAttempt(mTicket, Optional.empty(), now())));
            }
            if (changed || last) {
                mInstance.reportToDispatcher();
            }
        }
    }

    /** An instance with its part of the pool. */
    private final class Instance {
        private final InstanceId mId;
        private final ServicePool mPool;
        private final Map<Long, Request> mWaiting = new HashMap<>();

        private Instance(int number, PoolSettings settings) {
            mId = new InstanceId("i" + number);
            mPool =
                    new ServicePool(
                            "s",
                            new PoolScheduler(
                                    SERVICE,
                                    settings,
                                    new PromptQuarantine(),
                                    new RateLimits(),
                                    new UpstreamPauses()));
            mPool.scheduler().setUpstreams(mListed, 0);
        }

        private Optional<InstanceId> dispatcher() {
            return mDispatcher.filter(each -> each != this).map(each -> each.mId);
        }

        private void submit(Request request) {
            mWaiting.put(request.mJob.queryId(), request);
            execute(mPool.submit(request.mJob, dispatcher(), now()));
        }

        private void tick() {
            mPool.scheduler().setShare(share(this), now());
            execute(mPool.tick(dispatcher(), now()));
            mTime.after(TICK_MILLIS, this::tick);
        }

        private void reportPeriodically() {
            reportToDispatcher();
            mTime.after(REPORT_MILLIS, this::reportPeriodically);
        }

        private void reportToDispatcher() {
            if (mDispatcher.isEmpty() || mDispatcher.get() == this) {
                return;
            }
            Instance to = mDispatcher.get();
            PoolUse use = mPool.scheduler().ownUse(now());
            Optional<Long> grant = mPool.highestGrant(to.mId);
            mTime.after(
                    MESSAGE_MILLIS,
                    () -> {
                        to.mPool.scheduler().updatePeer(mId, use, now());
                        grant.ifPresent(each -> to.mPool.scheduler().acknowledgeGrants(mId, each));
                        to.execute(to.mPool.tick(to.dispatcher(), now()));
                    });
        }

        private void execute(List<PoolAction> actions) {
            for (PoolAction action : actions) {
                Request request = mWaiting.remove(action.job().queryId());
                mDecisions.append(now()).append(' ').append(action.job().id());
                if (action instanceof PoolAction.Start start) {
                    mDecisions.append(' ').append(start.ticket().upstream().id());
                    request.start(start.ticket());
                }
                mDecisions.append('\n');
            }
            for (PoolMessage message : mPool.takeOutbox()) {
                mTime.after(MESSAGE_MILLIS, () -> deliver(message));
            }
        }

        private void deliver(PoolMessage message) {
            mInstances.stream()
                    .filter(each -> each.mId.equals(message.to()))
                    .findFirst()
                    .ifPresent(to -> to.receive(mId, message));
        }

        private void receive(InstanceId from, PoolMessage message) {
            if (message instanceof PoolMessage.Query query) {
                PoolJob job = Jobs.fromInstance(query.job(), from.value());
                execute(mPool.receiveQuery(from, job, now()));
            } else if (message instanceof PoolMessage.Reply reply) {
                execute(mPool.receiveDecision(from, reply.decision(), now()));
            } else if (message instanceof PoolMessage.Withdrawal withdrawal) {
                mPool.receiveWithdrawal(from, withdrawal.queryId(), now());
            }
        }
    }
}
