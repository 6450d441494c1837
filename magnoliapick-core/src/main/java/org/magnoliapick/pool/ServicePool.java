package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.lib.InstanceId;

/**
 * One instance's part in placing the requests of a service. If another instance is the service's
 * dispatcher, queries are sent there; if this instance is, it also decides the queries of the
 * others. Correctness does not depend on which instance decides: with two dispatchers or none,
 * placement is only less efficient.
 */
public final class ServicePool {
    /** Number of decisions that are kept to be sent again if a reply is lost. */
    private static final int MAX_KEPT_DECISIONS = 1_024;

    private final PoolScheduler mScheduler;
    private final PendingQueries mQueries = new PendingQueries();
    private final String mService;
    private final Map<QueryKey, KeptDecision> mDecisions =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<QueryKey, KeptDecision> eldest) {
                    return size() > MAX_KEPT_DECISIONS;
                }
            };
    private final Map<InstanceId, Long> mHighestGrants = new LinkedHashMap<>();
    private final List<PoolMessage> mOutbox = new ArrayList<>();
    private QueryCounts mQueryCounts = QueryCounts.NONE;

    /** Creates an instance's part of a pool. */
    public ServicePool(String service, PoolScheduler scheduler) {
        mService = service;
        mScheduler = scheduler;
    }

    /** Returns the scheduler for the requests that this instance decides. */
    public PoolScheduler scheduler() {
        return mScheduler;
    }

    /** Returns how many requests of this and other instances wait for a decision. */
    public int waitingCount() {
        return mQueries.size() + mScheduler.waitingCount();
    }

    /** Returns the highest grant number that was received from a dispatcher. */
    public Optional<Long> highestGrant(InstanceId dispatcher) {
        return Optional.ofNullable(mHighestGrants.get(dispatcher));
    }

    /** Returns how queries ended since the last call. */
    public QueryCounts takeQueryCounts() {
        QueryCounts counts = mQueryCounts;
        mQueryCounts = QueryCounts.NONE;
        return counts;
    }

    /** Returns whether there are messages to send. */
    public boolean hasMessages() {
        return !mOutbox.isEmpty();
    }

    /** Returns the messages to send and removes them. */
    public List<PoolMessage> takeOutbox() {
        if (mOutbox.isEmpty()) {
            return List.of();
        }
        List<PoolMessage> messages = List.copyOf(mOutbox);
        mOutbox.clear();
        return messages;
    }

    /**
     * Submits a request of this instance.
     *
     * @param dispatcher the dispatcher; absent if this instance decides
     * @return decisions about requests of this instance
     */
    public List<PoolAction> submit(PoolJob job, Optional<InstanceId> dispatcher, long nowMillis) {
        if (dispatcher.isEmpty()) {
            return localActions(mScheduler.submit(job, nowMillis));
        }
        mQueries.add(job, dispatcher.get(), nowMillis);
        mOutbox.add(new PoolMessage.Query(dispatcher.get(), job));
        return List.of();
    }

    /** Withdraws a request of this instance. */
    public void withdraw(PoolJob job) {
        mScheduler.withdraw(job);
        mQueries.withdraw(job)
                .ifPresent(
                        to -> mOutbox.add(new PoolMessage.Withdrawal(to, mService, job.queryId())));
    }

    /**
     * Processes a query of another instance; if it was decided before, the decision is sent again.
     */
    public List<PoolAction> receiveQuery(InstanceId requester, PoolJob job, long nowMillis) {
        QueryKey key = new QueryKey(requester, job.queryId());
        KeptDecision earlier = mDecisions.get(key);
        if (earlier != null) {
            queueReply(requester, earlier.decision());
            return List.of();
        }
        List<PoolAction> actions = List.of();
        if (mScheduler.findWaiting(requester, job.queryId()).isEmpty()) {
            actions = localActions(mScheduler.submit(job, nowMillis));
        }
        if (mScheduler.findWaiting(requester, job.queryId()).isPresent()) {
            queueReply(requester, new PoolDecision.Queued(job.queryId()));
        }
        return actions;
    }

    /**
     * Processes the withdrawal of another instance's query. A grant on it starts nothing, so it is
     * taken back.
     */
    public void receiveWithdrawal(InstanceId requester, long queryId, long nowMillis) {
        mScheduler.findWaiting(requester, queryId).ifPresent(mScheduler::withdraw);
        KeptDecision kept = mDecisions.remove(new QueryKey(requester, queryId));
        if (kept != null && kept.action() instanceof PoolAction.Start grant) {
            mScheduler.revokeGrant(grant, nowMillis);
        }
    }

    /**
     * Processes a dispatcher's decision; one about a query that is no longer pending starts
     * nothing.
     */
    public List<PoolAction> receiveDecision(
            InstanceId dispatcher, PoolDecision decision, long nowMillis) {
        if (decision instanceof PoolDecision.Queued queued) {
            mQueries.acknowledge(queued.queryId(), nowMillis);
            return List.of();
        }
        long ageMillis = mQueries.decisionAgeMillis(decision.queryId(), nowMillis);
        Optional<PoolJob> job = mQueries.remove(decision.queryId(), dispatcher);
        if (decision instanceof PoolDecision.Start start) {
            boolean repeated = mHighestGrants.getOrDefault(dispatcher, 0L) >= start.grant();
            if (job.isEmpty() && !repeated) {
                mQueryCounts = mQueryCounts.withUnusedGrant();
            }
            mHighestGrants.merge(dispatcher, start.grant(), Math::max);
        }
        if (job.isEmpty()) {
            return List.of();
        }
        if (decision instanceof PoolDecision.Refuse refuse) {
            return List.of(
                    new PoolAction.Refuse(job.get(), refuse.retryAfterMillis(), refuse.cause()));
        }
        PoolDecision.Start start = (PoolDecision.Start) decision;
        Optional<Ticket> ticket = mScheduler.startGranted(job.get(), start, ageMillis, nowMillis);
        if (ticket.isEmpty()) {
            // The dispatcher chose an upstream that is not, or no longer, listed here, or its
            // grant for a cold one arrived late.
            mOutbox.add(new PoolMessage.Withdrawal(dispatcher, mService, start.queryId()));
            return localActions(mScheduler.submit(job.get(), nowMillis));
        }
        return List.of(new PoolAction.Start(job.get(), ticket.get(), start.grant(), start.cause()));
    }

    /**
     * Sends queries again that are due, decides those that timed out, and starts or refuses waiting
     * requests.
     */
    public List<PoolAction> tick(Optional<InstanceId> dispatcher, long nowMillis) {
        List<PoolAction> actions = new ArrayList<>();
        PendingQueries.QueriesDue due = mQueries.takeDue(dispatcher, nowMillis);
        mOutbox.addAll(due.messages());
        mQueryCounts = mQueryCounts.withDecidedLocally(due.undecided().size());
        for (PoolJob job : due.undecided()) {
            actions.addAll(localActions(mScheduler.submit(job, nowMillis)));
        }
        actions.addAll(localActions(mScheduler.tick(nowMillis)));
        return actions;
    }

    /**
     * Queues the decisions about other instances' requests as replies and returns those about
     * requests of this instance.
     */
    public List<PoolAction> localActions(List<PoolAction> actions) {
        List<PoolAction> local = new ArrayList<>();
        for (PoolAction action : actions) {
            Optional<InstanceId> requester = action.job().requester();
            if (requester.isEmpty()) {
                local.add(action);
            } else {
                PoolDecision decision = decision(action);
                QueryKey key = new QueryKey(requester.get(), decision.queryId());
                mDecisions.put(key, new KeptDecision(decision, action));
                queueReply(requester.get(), decision);
            }
        }
        return local;
    }

    private static PoolDecision decision(PoolAction action) {
        long queryId = action.job().queryId();
        if (action instanceof PoolAction.Start start) {
            Ticket ticket = start.ticket();
            return new PoolDecision.Start(
                    queryId,
                    start.grant(),
                    ticket.upstream().id(),
                    ticket.newTokens(),
                    ticket.aheadTokens(),
                    start.cause());
        }
        PoolAction.Refuse refuse = (PoolAction.Refuse) action;
        return new PoolDecision.Refuse(queryId, refuse.cause(), refuse.retryAfterMillis());
    }

    private void queueReply(InstanceId requester, PoolDecision decision) {
        mOutbox.add(new PoolMessage.Reply(requester, mService, decision));
    }

    private record QueryKey(InstanceId requester, long queryId) {}

    /** A decision that was sent, and what it stands for here. */
    private record KeptDecision(PoolDecision decision, PoolAction action) {}
}
