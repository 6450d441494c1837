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
public final class PoolNode {
    /** How many decisions are kept to be repeated, should they be lost on the way. */
    private static final int KEPT_DECISIONS = 1_024;

    private final PoolScheduler mScheduler;
    private final AskBook mAsks = new AskBook();
    private final String mService;
    private final Map<QuestionKey, PoolDecision> mDecided =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<QuestionKey, PoolDecision> eldest) {
                    return size() > KEPT_DECISIONS;
                }
            };
    private final Map<InstanceId, Long> mGrantsTaken = new LinkedHashMap<>();
    private final List<PoolMessage> mOutbox = new ArrayList<>();

    /** Creates the part of an instance. */
    public PoolNode(String service, PoolScheduler scheduler) {
        mService = service;
        mScheduler = scheduler;
    }

    /** Returns the scheduler, which decides what is decided here. */
    public PoolScheduler scheduler() {
        return mScheduler;
    }

    /** Returns how many requests of this instance and others wait for a decision. */
    public int waiting() {
        return mAsks.size() + mScheduler.waiting();
    }

    /** Returns the highest grant taken from a dispatcher. */
    public Optional<Long> grantTaken(InstanceId dispatcher) {
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
            return own(mScheduler.submit(job, nowMillis));
        }
        mAsks.ask(job, dispatcher.get(), nowMillis);
        mOutbox.add(new PoolMessage.Ask(dispatcher.get(), job));
        return List.of();
    }

    /** Takes a request of this instance back. */
    public void withdraw(PoolJob job) {
        mScheduler.withdraw(job);
        mAsks.withdraw(job)
                .ifPresent(to -> mOutbox.add(new PoolMessage.Withdraw(to, mService, job.number())));
    }

    /** Takes a question of another instance. */
    public List<PoolAction> asked(InstanceId asker, PoolJob job, long nowMillis) {
        QuestionKey key = new QuestionKey(asker, job.number());
        PoolDecision decided = mDecided.get(key);
        if (decided != null) {
            tell(asker, decided);
            return List.of();
        }
        List<PoolAction> actions = List.of();
        if (mScheduler.waiting(asker, job.number()).isEmpty()) {
            actions = own(mScheduler.submit(job, nowMillis));
        }
        if (mScheduler.waiting(asker, job.number()).isPresent()) {
            tell(asker, new PoolDecision.Queued(job.number()));
        }
        return actions;
    }

    /** Takes the withdrawal of another instance's question. */
    public void withdrawn(InstanceId asker, long number) {
        mScheduler.waiting(asker, number).ifPresent(mScheduler::withdraw);
    }

    /** Takes what a dispatcher decided. */
    public List<PoolAction> decided(InstanceId dispatcher, PoolDecision decision, long nowMillis) {
        if (decision instanceof PoolDecision.Queued queued) {
            mAsks.queued(queued.number(), nowMillis);
            return List.of();
        }
        if (decision instanceof PoolDecision.Start start) {
            mGrantsTaken.merge(dispatcher, start.grant(), Math::max);
        }
        Optional<PoolJob> job = mAsks.end(decision.number());
        if (job.isEmpty()) {
            return List.of();
        }
        if (decision instanceof PoolDecision.Refuse refuse) {
            return List.of(
                    new PoolAction.Refuse(job.get(), refuse.retryAfterMillis(), refuse.cause()));
        }
        PoolDecision.Start start = (PoolDecision.Start) decision;
        Optional<Ticket> ticket = mScheduler.adopt(job.get(), start, nowMillis);
        if (ticket.isEmpty()) {
            // The dispatcher knows an upstream that is not, or no more, listed here.
            return own(mScheduler.submit(job.get(), nowMillis));
        }
        return List.of(new PoolAction.Start(job.get(), ticket.get(), start.grant(), start.cause()));
    }

    /** Lets time pass. */
    public List<PoolAction> tick(Optional<InstanceId> dispatcher, long nowMillis) {
        List<PoolAction> actions = new ArrayList<>();
        List<PoolJob> again = new ArrayList<>();
        for (PoolJob job : mAsks.tick(dispatcher, again, nowMillis)) {
            actions.addAll(own(mScheduler.submit(job, nowMillis)));
        }
        again.forEach(job -> mOutbox.add(new PoolMessage.Ask(dispatcher.orElseThrow(), job)));
        actions.addAll(own(mScheduler.tick(nowMillis)));
        return actions;
    }

    /** Sends what was decided for others to them and returns what was decided for this instance. */
    public List<PoolAction> own(List<PoolAction> actions) {
        List<PoolAction> own = new ArrayList<>();
        for (PoolAction action : actions) {
            Optional<InstanceId> asker = action.job().asker();
            if (asker.isEmpty()) {
                own.add(action);
            } else {
                PoolDecision decision = decision(action);
                QuestionKey key = new QuestionKey(asker.get(), decision.number());
                mDecided.put(key, decision);
                tell(asker.get(), decision);
            }
        }
        return own;
    }

    private static PoolDecision decision(PoolAction action) {
        long number = action.job().number();
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
        mOutbox.add(new PoolMessage.Decide(asker, mService, decision));
    }

    private record QuestionKey(InstanceId asker, long number) {}
}
