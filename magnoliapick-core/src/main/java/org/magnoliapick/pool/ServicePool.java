package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.lib.InstanceId;

/**
 * One instance's part in deciding about a service. Where another instance is the service's
 * dispatcher, questions go there; where this one is, it answers those of the others. Correctness
 * does not hang on who decides: two dispatchers, or none, only place less well.
 */
public final class ServicePool {
    /** How many decisions are kept to be repeated, should they be lost on the way. */
    private static final int KEPT_DECISIONS = 1_024;

    private final PoolScheduler mScheduler;
    private final PendingQueries mAsks = new PendingQueries();
    private final String mService;
    private final Map<QueryKey, PoolDecision> mDecided =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<QueryKey, PoolDecision> eldest) {
                    return size() > KEPT_DECISIONS;
                }
            };
    private final Map<InstanceId, Long> mGrantsTaken = new LinkedHashMap<>();
    private final List<PoolMessage> mOutbox = new ArrayList<>();

    /** Creates the part of an instance. */
    public ServicePool(String service, PoolScheduler scheduler) {
        mService = service;
        mScheduler = scheduler;
    }

    /** Returns the scheduler, which decides what is decided here. */
    public PoolScheduler scheduler() {
        return mScheduler;
    }

    /** Returns how many requests of this instance and others wait for a decision. */
    public int waitingCount() {
        return mAsks.size() + mScheduler.waitingCount();
    }

    /** Returns the highest grant taken from a dispatcher. */
    public Optional<Long> highestGrant(InstanceId dispatcher) {
        return Optional.ofNullable(mGrantsTaken.get(dispatcher));
    }

    /** Returns whether there are messages to send. */
    public boolean hasMessages() {
        return !mOutbox.isEmpty();
    }

    /** Returns the messages that are to be sent, and forgets them. */
    public List<PoolMessage> takeOutbox() {
        if (mOutbox.isEmpty()) {
            return List.of();
        }
        List<PoolMessage> messages = List.copyOf(mOutbox);
        mOutbox.clear();
        return messages;
    }

    /**
     * Takes a request of this instance.
     *
     * @param dispatcher who decides; absent if this instance does
     */
    public List<PoolAction> submit(PoolJob job, Optional<InstanceId> dispatcher, long nowMillis) {
        if (dispatcher.isEmpty()) {
            return localActions(mScheduler.submit(job, nowMillis));
        }
        mAsks.add(job, dispatcher.get(), nowMillis);
        mOutbox.add(new PoolMessage.Query(dispatcher.get(), job));
        return List.of();
    }

    /** Takes a request of this instance back. */
    public void withdraw(PoolJob job) {
        mScheduler.withdraw(job);
        mAsks.withdraw(job)
                .ifPresent(to -> mOutbox.add(new PoolMessage.Withdrawal(to, mService, job.queryId())));
    }

    /** Takes a question of another instance. */
    public List<PoolAction> receiveQuery(InstanceId asker, PoolJob job, long nowMillis) {
        QueryKey key = new QueryKey(asker, job.queryId());
        PoolDecision decided = mDecided.get(key);
        if (decided != null) {
            tell(asker, decided);
            return List.of();
        }
        List<PoolAction> actions = List.of();
        if (mScheduler.findWaiting(asker, job.queryId()).isEmpty()) {
            actions = localActions(mScheduler.submit(job, nowMillis));
        }
        if (mScheduler.findWaiting(asker, job.queryId()).isPresent()) {
            tell(asker, new PoolDecision.Queued(job.queryId()));
        }
        return actions;
    }

    /** Takes the withdrawal of another instance's question. */
    public void receiveWithdrawal(InstanceId asker, long number) {
        mScheduler.findWaiting(asker, number).ifPresent(mScheduler::withdraw);
    }

    /** Takes what a dispatcher decided. */
    public List<PoolAction> receiveDecision(InstanceId dispatcher, PoolDecision decision, long nowMillis) {
        if (decision instanceof PoolDecision.Queued queued) {
            mAsks.acknowledge(queued.queryId(), nowMillis);
            return List.of();
        }
        if (decision instanceof PoolDecision.Start start) {
            mGrantsTaken.merge(dispatcher, start.grant(), Math::max);
        }
        Optional<PoolJob> job = mAsks.remove(decision.queryId());
        if (job.isEmpty()) {
            return List.of();
        }
        if (decision instanceof PoolDecision.Refuse refuse) {
            return List.of(
                    new PoolAction.Refuse(job.get(), refuse.retryAfterMillis(), refuse.cause()));
        }
        PoolDecision.Start start = (PoolDecision.Start) decision;
        Optional<Ticket> ticket = mScheduler.startGranted(job.get(), start, nowMillis);
        if (ticket.isEmpty()) {
            // The dispatcher knows an upstream that is not, or no more, listed here.
            return localActions(mScheduler.submit(job.get(), nowMillis));
        }
        return List.of(new PoolAction.Start(job.get(), ticket.get(), start.grant(), start.cause()));
    }

    /** Lets time pass. */
    public List<PoolAction> tick(Optional<InstanceId> dispatcher, long nowMillis) {
        List<PoolAction> actions = new ArrayList<>();
        List<PoolJob> again = new ArrayList<>();
        for (PoolJob job : mAsks.takeTimedOut(dispatcher, again, nowMillis)) {
            actions.addAll(localActions(mScheduler.submit(job, nowMillis)));
        }
        again.forEach(job -> mOutbox.add(new PoolMessage.Query(dispatcher.orElseThrow(), job)));
        actions.addAll(localActions(mScheduler.tick(nowMillis)));
        return actions;
    }

    /** Sends what was decided for others to them and returns what was decided for this instance. */
    public List<PoolAction> localActions(List<PoolAction> actions) {
        List<PoolAction> own = new ArrayList<>();
        for (PoolAction action : actions) {
            Optional<InstanceId> asker = action.job().requester();
            if (asker.isEmpty()) {
                own.add(action);
            } else {
                PoolDecision decision = decision(action);
                QueryKey key = new QueryKey(asker.get(), decision.queryId());
                mDecided.put(key, decision);
                tell(asker.get(), decision);
            }
        }
        return own;
    }

    private static PoolDecision decision(PoolAction action) {
        long number = action.job().queryId();
        if (action instanceof PoolAction.Start start) {
            Ticket ticket = start.ticket();
            return new PoolDecision.Start(
                    number,
                    start.grant(),
                    ticket.upstream().id(),
                    ticket.newTokens(),
                    ticket.aheadTokens(),
                    start.cause());
        }
        PoolAction.Refuse refuse = (PoolAction.Refuse) action;
        return new PoolDecision.Refuse(number, refuse.cause(), refuse.retryAfterMillis());
    }

    private void tell(InstanceId asker, PoolDecision decision) {
        mOutbox.add(new PoolMessage.Reply(asker, mService, decision));
    }

    private record QueryKey(InstanceId asker, long number) {}
}
