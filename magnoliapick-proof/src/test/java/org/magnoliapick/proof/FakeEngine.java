package org.magnoliapick.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.TreeSet;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.order.EngineState;
import org.magnoliapick.order.OrderAction;
import org.magnoliapick.order.OrderOutcome;

/** An engine that obeys orders at once; one kind checks the fencing number, the other does not. */
final class FakeEngine {
    final UpstreamId mId;
    private final boolean mChecksFencing;
    private final Set<String> mModels = new TreeSet<>();
    private long mFencingNumber = -1;
    boolean mDead;
    boolean mLosesAnswers;

    FakeEngine(String name, boolean checksFencing, String model) {
        mId = new UpstreamId(name);
        mChecksFencing = checksFencing;
        mModels.add(model);
    }

    OrderOutcome obey(OrderAction.SendOrder order) {
        if (mDead) {
            return OrderOutcome.REFUSED;
        }
        if (mChecksFencing) {
            if (order.fencingNumber() < mFencingNumber) {
                return OrderOutcome.FENCED;
            }
            mFencingNumber = order.fencingNumber();
        }
        switch (order.kind()) {
            case LOAD_MODEL -> mModels.add(order.subject());
            case UNLOAD_MODEL -> mModels.remove(order.subject());
            default -> throw new AssertionError("Not wanted here: " + order);
        }
        return mLosesAnswers ? OrderOutcome.UNKNOWN : OrderOutcome.ACCEPTED;
    }

    EngineState report(long nowMillis) {
        return new EngineState(mId, mModels, Set.of(), "", mFencingNumber, nowMillis);
    }

    boolean servesSomething() {
        return !mModels.isEmpty();
    }

    void assertHoldsOnly(String model) {
        assertThat(mModels).as("models of " + mId).containsExactly(model);
    }

    void raiseFencing(long number) {
        if (mChecksFencing) {
            mFencingNumber = Math.max(mFencingNumber, number);
        }
    }
}
