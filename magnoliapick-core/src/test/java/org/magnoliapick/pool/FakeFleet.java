package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.limit.ColdBounds;
import org.magnoliapick.limit.RateLimits;
import org.magnoliapick.relay.FleetRetryBudget;
import org.magnoliapick.relay.RelayAttempts;
import org.magnoliapick.relay.RelayStep;
import org.magnoliapick.request.AttemptEnd;
import org.magnoliapick.route.ServiceSpec;

/**
 * A fleet in virtual time: instances that share engines, which crash when they begin to answer a
 * request with a poison part. The first instance is the dispatcher. A crashed engine is replaced
 * under a new identifier.
 */
final class FakeFleet {
    private static final long TICK_MILLIS = 10;
    private static final long PREFILL_MILLIS = 40;
    private static final long ANSWER_MILLIS = 300;
    private static final long DELIST_MILLIS = 1_000;
    private static final long REPLACE_MILLIS = 3_000;
    private static final long CONFIRM_MILLIS = 100;
    private static final long EXCHANGE_MILLIS = 100;

    private final VirtualTime mTime = new VirtualTime();
    private final List<Instance> mInstances = new ArrayList<>();
    private final FakeEngines mEngines = new FakeEngines();
    private final FakeNetwork mNetwork;
    private final ServiceSpec mService;
    private final Random mRandom;
    private long mLastNumber;

    /** The number of instances that share a dispatcher. */
    private final int mCellSize;

    FakeFleet(int instances, int engines, long seed) {
        this(instances, instances, engines, seed);
    }

    FakeFleet(int instances, int cellSize, int engines, long seed) {
        this(instances, cellSize, engines, seed, Jobs.ENGINES, 0);
    }

    FakeFleet(
            int instances,
            int cellSize,
            int engines,
            long seed,
            ServiceSpec service,
            long noticeMillis) {
        mCellSize = cellSize;
        mService = service;
        mRandom = new Random(seed);
        mNetwork = new FakeNetwork(mTime, mRandom, noticeMillis);
        for (int i = 0; i < instances; i++) {
            mInstances.add(new Instance(i));
        }
        for (int i = 0; i < engines; i++) {
            addEngine();
        }
        knowledge().forEach(each -> each.readList(mEngines.all(), true, 0));
        listEngines();
        mInstances.forEach(Instance::tick);
        mInstances.forEach(Instance::exchange);
    }

    /** Makes engines crash that begin to answer a request with a part, also one of its own. */
    void poison(String part) {
        mEngines.poison(part);
    }

    FakeNetwork network() {
        return mNetwork;
    }

    /** Adds engines that start cold and do not state it in the list. */
    List<FakeEngine> startEngines(int count, long coldMillis) {
        List<FakeEngine> engines = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            engines.add(addEngine());
            engines.get(i).setCold(nowMillis() + coldMillis);
        }
        knowledge().forEach(each -> each.readList(engines, false, nowMillis()));
        listEngines();
        return engines;
    }

    /** Returns what the instances know. */
    List<FakeKnowledge> knowledge() {
        return mInstances.stream().map(each -> each.mKnowledge).toList();
    }

    long nowMillis() {
        return mTime.nowMillis();
    }

    int instanceCount() {
        return mInstances.size();
    }

    Random random() {
        return mRandom;
    }

    /** Returns when engines crashed because of a part, in order. */
    List<Long> crashMillis(String part) {
        return mEngines.crashMillis(part);
    }

    /** Runs an action at a time. */
    void at(long millis, Runnable action) {
        mTime.at(millis, action);
    }

    /** Runs all events up to a time. */
    void runUntil(long millis) {
        mTime.runUntil(millis);
    }

    /** Sends a request whose prompt has these parts and one of its own to an instance. */
    Request send(int instance, String... parts) {
        long number = ++mLastNumber;
        return send(instance, number, number, parts);
    }

    /** Sends a request that repeats the content of all others with the same number. */
    Request sendRepetition(int instance, long content, String... parts) {
        return send(instance, ++mLastNumber, content, parts);
    }

    private Request send(int instance, long number, long content, String... parts) {
        Request request = new Request(mInstances.get(instance), number, content, List.of(parts));
        request.submit();
        return request;
    }

    /** Cuts an instance off from the others, or ends that. */
    void setCut(int instance, boolean cut) {
        mNetwork.setCut(instance, cut);
    }

    /** Replaces an instance by one that knows nothing. */
    void restart(int instance) {
        mInstances.set(instance, new Instance(instance));
        mInstances.get(instance).mKnowledge.readList(mEngines.all(), true, nowMillis());
        listEngines();
        mInstances.get(instance).tick();
        mInstances.get(instance).exchange();
    }

    /** Returns what an instance knows of the rate limit of an engine. */
    OptionalDouble knownRateLimit(int instance, int engine) {
        ListedUpstream upstream = engine(engine).upstream();
        RateLimits limits = mInstances.get(instance).mKnowledge.rateLimits();
        return limits.find(upstream.id(), upstream.startedMillis());
    }

    /** Returns whether an instance knows that an engine is leaving. */
    boolean knowsLeaving(int instance, FakeEngine engine) {
        return mInstances.get(instance).mKnowledge.leaving().contains(engine.upstream());
    }

    /** Returns one of the engines, by the order in which they were added. */
    FakeEngine engine(int number) {
        return mEngines.all().get(number);
    }

    /** Returns the number of parts or fingerprints that an instance has in quarantine. */
    long quarantinedCount(int instance) {
        return mInstances.get(instance).mKnowledge.quarantinedCount(mTime.nowMillis());
    }

    /** Lets requests with a part pass again without harm. */
    void cure(String part) {
        mEngines.cure(part);
    }

    /** Crashes an engine for a reason that has nothing to do with its requests. */
    void crashAnyEngine() {
        mEngines.anyRunning(mRandom).ifPresent(this::crash);
    }

    private FakeEngine addEngine() {
        FakeEngine engine = new FakeEngine(Jobs.upstream("engine-" + ++mLastNumber));
        mEngines.add(engine);
        return engine;
    }

    private void listEngines() {
        mInstances.forEach(Instance::listEngines);
    }

    private void crash(FakeEngine engine) {
        engine.stop();
        List<Request> lost = List.copyOf(engine.requests());
        engine.requests().clear();
        mTime.after(
                FakeNetwork.MESSAGE_MILLIS,
                () -> lost.forEach(each -> each.ended(Optional.of(AttemptEnd.CUT))));
        mTime.after(
                DELIST_MILLIS,
                () -> {
                    mEngines.remove(engine);
                    listEngines();
                });
        mTime.after(
                REPLACE_MILLIS,
                () -> {
                    addEngine();
                    listEngines();
                });
    }

    /** One instance with its part of the pool. */
    private final class Instance {
        private final int mNumber;
        private final InstanceId mId;
        private final FakeKnowledge mKnowledge = new FakeKnowledge(mTime.nowMillis());
        private final ServicePool mPool =
                new ServicePool(
                        "s",
                        new PoolScheduler(
                                mService,
                                new PoolSettings(4_000, 100, new ColdBounds(1.5, 5), false),
                                mKnowledge.quarantine(),
                                mKnowledge.rateLimits(),
                                mKnowledge.pauses()));
        private final FleetRetryBudget mBudget = new FleetRetryBudget(0.2, 50, 10_000, 1);
        private final Map<Long, Request> mWaiting = new LinkedHashMap<>();

        private Instance(int number) {
            mNumber = number;
            mKnowledge.configure(mService);
            mId = new InstanceId("instance-" + number);
        }

        /** Sets the engines that may get new requests as far as the instance knows. */
        private void listEngines() {
            List<ListedUpstream> usable =
                    mEngines.all().stream()
                            .map(FakeEngine::upstream)
                            .filter(each -> !mKnowledge.leaving().contains(each))
                            .toList();
            mPool.scheduler().setUpstreams(usable, mTime.nowMillis());
            mPool.scheduler().setAllLeaving(usable.isEmpty() && !mEngines.all().isEmpty());
        }

        private Instance cellDispatcher() {
            return mInstances.get(mNumber - mNumber % mCellSize);
        }

        private Optional<InstanceId> dispatcher() {
            InstanceId dispatcher = cellDispatcher().mId;
            return dispatcher.equals(mId) || mNetwork.isCut(mNumber)
                    ? Optional.empty()
                    : Optional.of(dispatcher);
        }

        private FleetShare share() {
            int known = mInstances.size();
            boolean decides = dispatcher().isEmpty();
            double decided = decides ? mNetwork.reachableFrom(mNumber, known) : 1;
            int recent = 1 + mNetwork.recentSenders(mNumber, mCellSize);
            return new FleetShare(
                    decided / known, decides, (double) mNumber / known, known, recent);
        }

        private void tick() {
            if (mInstances.get(mNumber) != this) {
                return;
            }
            mPool.scheduler().setShare(share(), mTime.nowMillis());
            execute(mPool.tick(dispatcher(), mTime.nowMillis()));
            mTime.after(TICK_MILLIS, this::tick);
        }

        /** Exchanges what is known of poison parts with the dispatcher. */
        private void exchange() {
            if (mInstances.get(mNumber) != this) {
                return;
            }
            mKnowledge.quarantine().tick(mTime.nowMillis());
            mKnowledge.rateLimits().tick(mTime.nowMillis());
            mKnowledge.rateLimits().cold().tick(mTime.nowMillis());
            Instance dispatcher = cellDispatcher();
            if (dispatcher != this) {
                report(dispatcher);
                dispatcher.report(this);
            } else {
                mInstances.stream()
                        .filter(each -> each != this && each.cellDispatcher() == each)
                        .forEach(this::report);
            }
            mTime.after(EXCHANGE_MILLIS, this::exchange);
        }

        /** Reports to an instance what this one knows and, to a dispatcher, its use. */
        private void report(Instance to) {
            // One datagram in ten is lost.
            if (!mNetwork.connects(mNumber, to.mNumber) || mRandom.nextInt(10) == 0) {
                return;
            }
            mNetwork.reported(mNumber, to.mNumber);
            mKnowledge.sendTo(to.mKnowledge, mId.value(), mTime.nowMillis());
            if (!to.mKnowledge.leaving().takeChanges().isEmpty()) {
                to.listEngines();
            }
            if (to.cellDispatcher() == to) {
                mKnowledge.sendPausesTo(to.mKnowledge, mId, mTime.nowMillis());
                PoolUse use =
                        cellDispatcher() == this
                                ? mPool.scheduler().aggregateUse(mTime.nowMillis())
                                : mPool.scheduler().ownUse(mTime.nowMillis());
                to.mPool.scheduler().updatePeer(mId, use, mTime.nowMillis());
                mPool.highestGrant(to.mId)
                        .ifPresent(grant -> to.mPool.scheduler().acknowledgeGrants(mId, grant));
            }
        }

        private void execute(List<PoolAction> actions) {
            for (PoolAction action : actions) {
                Request request = mWaiting.remove(action.job().queryId());
                if (action instanceof PoolAction.Start start) {
                    request.start(start.ticket());
                } else if (action instanceof PoolAction.Refuse refuse) {
                    request.refused(refuse.cause());
                }
            }
            for (PoolMessage message : mPool.takeOutbox()) {
                mNetwork.send(() -> deliver(message));
            }
        }

        private void deliver(PoolMessage message) {
            mInstances.stream()
                    .filter(to -> to.mId.equals(message.to()))
                    .filter(to -> mNetwork.connects(mNumber, to.mNumber))
                    .forEach(to -> to.receive(mId, message));
        }

        private void receive(InstanceId from, PoolMessage message) {
            if (message instanceof PoolMessage.Query query) {
                PoolJob job = Jobs.fromInstance(query.job(), from.value());
                execute(mPool.receiveQuery(from, job, mTime.nowMillis()));
            } else if (message instanceof PoolMessage.Reply reply) {
                execute(mPool.receiveDecision(from, reply.decision(), mTime.nowMillis()));
            } else if (message instanceof PoolMessage.Withdrawal withdrawal) {
                mPool.receiveWithdrawal(from, withdrawal.queryId(), mTime.nowMillis());
            }
        }
    }

    /** A request with the attempts that its instance makes. */
    final class Request extends FakeRequest {
        private final Instance mInstance;
        private final RelayAttempts mAttempts;
        private PoolJob mJob;
        private Ticket mTicket;
        private boolean mEventReceived;

        private Request(Instance instance, long number, long content, List<String> parts) {
            super(instance.mNumber, Jobs.request(number, content, parts, mTime.nowMillis()));
            mInstance = instance;
            mAttempts = new RelayAttempts(mRequest);
        }

        private boolean isQuarantined() {
            boolean quarantined = mInstance.mKnowledge.isQuarantined(mRequest, mTime.nowMillis());
            if (quarantined) {
                refused(PoolCause.QUARANTINED);
            }
            return quarantined;
        }

        private void submit() {
            if (isQuarantined()) {
                return;
            }
            mJob =
                    PoolJob.of(
                            mRequest,
                            Jobs.DOMAIN,
                            mAttempts.tried(),
                            Set.of(),
                            mAttempts.isHeadRelayed(),
                            1,
                            ++mLastNumber,
                            mTime.nowMillis());
            mInstance.mWaiting.put(mJob.queryId(), this);
            mInstance.execute(
                    mInstance.mPool.submit(mJob, mInstance.dispatcher(), mTime.nowMillis()));
        }

        private void start(Ticket ticket) {
            mTicket = ticket;
            mEventReceived = false;
            if (isQuarantined()) {
                release(Optional.of(AttemptEnd.CANCELLED));
                return;
            }
            Optional<FakeEngine> running =
                    mEngines.find(ticket.upstream().id()).filter(FakeEngine::isRunning);
            if (running.isEmpty()) {
                mTime.after(
                        FakeNetwork.MESSAGE_MILLIS, () -> ended(Optional.of(AttemptEnd.NOT_SENT)));
                return;
            }
            FakeEngine engine = running.get();
            sent(mTime.nowMillis());
            mAttempts.sent(ticket.upstream().id());
            engine.arrive(this, mTime.nowMillis());
            if (engine.refuses(mInstance.mNumber, mTime.nowMillis())) {
                mTime.after(FakeNetwork.MESSAGE_MILLIS, () -> refused(engine));
            } else {
                mTime.after(PREFILL_MILLIS, () -> beginAnswer(engine));
            }
        }

        private void refused(FakeEngine engine) {
            long pauseMillis = engine.refuse(this, mTime.nowMillis());
            mInstance.mKnowledge.recordRefusal(engine, mRequest, pauseMillis, mTime.nowMillis());
            ended(Optional.of(AttemptEnd.REFUSED));
        }

        private void beginAnswer(FakeEngine engine) {
            if (!engine.requests().contains(this)) {
                return;
            }
            Optional<String> poison = mEngines.poisonPart(mRequest);
            if (poison.isPresent()) {
                mEngines.recordCrash(poison.get(), mTime.nowMillis());
                crash(engine);
                return;
            }
            mEventReceived = true;
            long sentMillis = sentMillis().get(sentMillis().size() - 1);
            engine.respond(mInstance.mNumber, mTime.nowMillis());
            if (mInstance.mKnowledge.recordAnswer(
                    engine, mRequest, sentMillis, mTime.nowMillis())) {
                mInstance.listEngines();
            }
            mAttempts.headRelayed();
            mInstance.mPool.scheduler().recordEvent(mTicket, mTime.nowMillis());
            mTime.after(ANSWER_MILLIS, () -> completeAnswer(engine));
        }

        private void completeAnswer(FakeEngine engine) {
            if (engine.requests().remove(this)) {
                answered();
                ended(Optional.empty());
            }
        }

        private void ended(Optional<AttemptEnd> end) {
            ListedUpstream upstream = mTicket.upstream();
            release(end);
            if (end.isPresent()) {
                boolean crashed = end.get() == AttemptEnd.CUT && !mEventReceived;
                if (crashed) {
                    recordCrash(upstream, mTime.nowMillis());
                }
                RelayStep step =
                        crashed && !mInstance.mKnowledge.mayRetry(mRequest)
                                ? mAttempts.lastStep(end.get())
                                : mAttempts.nextStep(
                                        end.get(), mInstance.mBudget, mTime.nowMillis());
                if (step instanceof RelayStep.Retry || step instanceof RelayStep.Resume) {
                    submit();
                }
            }
        }

        private void release(Optional<AttemptEnd> end) {
            Ticket ticket = mTicket;
            mTicket = null;
            PoolScheduler scheduler = mInstance.mPool.scheduler();
            mInstance.execute(
                    mInstance.mPool.localActions(
                            scheduler.endAttempt(ticket, end, mTime.nowMillis())));
        }

        private void recordCrash(ListedUpstream upstream, long crashedMillis) {
            mTime.after(
                    CONFIRM_MILLIS,
                    () ->
                            mInstance.mKnowledge.recordCrash(
                                    mRequest, upstream, crashedMillis, mTime.nowMillis()));
        }
    }
}
