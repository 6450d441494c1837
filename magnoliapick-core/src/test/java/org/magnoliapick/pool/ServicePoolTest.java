package org.magnoliapick.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.magnoliapick.lib.InstanceId;

/** Two instances, one of them the dispatcher; messages are carried, lost and repeated by hand. */
final class ServicePoolTest {
    private static final InstanceId ASKER = new InstanceId("asker");
    private static final InstanceId DISPATCHER = new InstanceId("dispatcher");

    private final ServicePool mAsker = new ServicePool("s", Jobs.scheduler("u"));
    private final ServicePool mDispatcher = new ServicePool("s", Jobs.scheduler("u"));

    private List<PoolAction> carryToDispatcher(long nowMillis) {
        for (PoolMessage message : mAsker.takeOutbox()) {
            if (message instanceof PoolMessage.Query ask) {
                mDispatcher.receiveQuery(ASKER, Jobs.asked(ask.job(), "asker"), nowMillis);
            } else if (message instanceof PoolMessage.Withdrawal withdraw) {
                mDispatcher.receiveWithdrawal(ASKER, withdraw.queryId());
            }
        }
        return List.of();
    }

    private List<PoolAction> carryBack(long nowMillis) {
        List<PoolAction> actions = List.of();
        for (PoolMessage message : mDispatcher.takeOutbox()) {
            PoolMessage.Reply decide = (PoolMessage.Reply) message;
            actions = mAsker.receiveDecision(DISPATCHER, decide.decision(), nowMillis);
        }
        return actions;
    }

    @Test
    void startsWhatTheDispatcherGrants() {
        mAsker.submit(Jobs.job(1, "w", "p", 100, 0), Optional.of(DISPATCHER), 0);
        carryToDispatcher(1);
        assertThat(carryBack(2)).hasSize(1);
        assertThat(mAsker.highestGrant(DISPATCHER)).contains(1L);
        assertThat(mAsker.waitingCount()).isZero();
    }

    @Test
    void asksAgainWhenTheDecisionIsLostAndStartsOnce() {
        mAsker.submit(Jobs.job(1, "w", "p", 100, 0), Optional.of(DISPATCHER), 0);
        carryToDispatcher(1);
        mDispatcher.takeOutbox();
        mAsker.tick(Optional.of(DISPATCHER), 26);
        carryToDispatcher(27);
        assertThat(carryBack(28)).hasSize(1);
        mDispatcher.receiveQuery(ASKER, Jobs.asked(Jobs.job(1, "w", "p", 100, 0), "asker"), 30);
        assertThat(carryBack(31)).isEmpty();
    }

    @Test
    void decidesItselfWhenTheDispatcherIsMute() {
        mAsker.submit(Jobs.job(1, "w", "p", 100, 0), Optional.of(DISPATCHER), 0);
        assertThat(mAsker.tick(Optional.of(DISPATCHER), 59)).isEmpty();
        assertThat(mAsker.tick(Optional.of(DISPATCHER), 61)).hasSize(1);
    }

    /** The dispatcher was frozen after it was asked, and grants when it wakes. */
    @Test
    void aGrantThatComesAfterTheAskerDecidedStartsNothing() {
        mAsker.submit(Jobs.job(1, "w", "p", 100, 0), Optional.of(DISPATCHER), 0);
        assertThat(mAsker.tick(Optional.of(DISPATCHER), 61)).hasSize(1);
        carryToDispatcher(5_000);
        assertThat(carryBack(5_001)).isEmpty();
        assertThat(mAsker.waitingCount()).isZero();
    }

    @Test
    void goesToTheNextDispatcherWithWhatWaits() {
        InstanceId other = new InstanceId("other");
        mAsker.submit(Jobs.job(1, "w", "p", 100, 0), Optional.of(DISPATCHER), 0);
        mAsker.takeOutbox();
        mAsker.tick(Optional.of(other), 10);
        assertThat(mAsker.takeOutbox()).hasSize(1).allMatch(each -> each.to().equals(other));
    }

    @Test
    void takesBackWhatIsWithdrawn() {
        PoolJob busy = Jobs.job(9, "w", "q", 50_000, 0);
        mDispatcher.submit(busy, Optional.empty(), 0);
        PoolJob job = Jobs.job(1, "w", "p", 100, 0);
        mAsker.submit(job, Optional.of(DISPATCHER), 0);
        carryToDispatcher(1);
        assertThat(mDispatcher.waitingCount()).isEqualTo(1);
        mAsker.withdraw(job);
        carryToDispatcher(2);
        assertThat(mDispatcher.waitingCount()).isZero();
    }
}
