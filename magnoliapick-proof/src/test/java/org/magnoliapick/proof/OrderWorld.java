package org.magnoliapick.proof;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.PoolId;
import org.magnoliapick.lib.TargetKind;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.member.MemberState;
import org.magnoliapick.member.MemberTable;
import org.magnoliapick.member.RouterMember;
import org.magnoliapick.member.UpstreamMember;
import org.magnoliapick.order.DesiredState;
import org.magnoliapick.order.EngineState;
import org.magnoliapick.order.OrderAction;
import org.magnoliapick.order.OrderContext;
import org.magnoliapick.order.OrderOutcome;
import org.magnoliapick.order.OrderPlanner;
import org.magnoliapick.order.OrderStep;
import org.magnoliapick.order.PoolPlan;

/** Two routers and three engines of one pool, in injected time. */
final class OrderWorld {
    static final FailureDomain DOMAIN = new FailureDomain("seeb");
    static final PoolId POOL = new PoolId(DOMAIN, "lettering");
    private static final long RATE_BYTES_PER_SECOND = 1_000_000;
    private static final long SIZE_BYTES = 5_000_000;
    private static final long TURN_MILLIS = 1_000;

    final List<FakeEngine> mEngines = new ArrayList<>();
    final List<Router> mRouters = new ArrayList<>();
    final Map<UpstreamId, MemberState> mListed = new HashMap<>();
    DesiredState mSetting = order(1, 10);
    boolean mLogOut;
    boolean mListLost;
    private long mNowMillis = 1_000_000;

    OrderWorld(boolean checksFencing) {
        for (String name : List.of("a", "b", "c")) {
            mEngines.add(new FakeEngine(name, checksFencing, "lettering@0"));
            mListed.put(new UpstreamId(name), MemberState.LIVE);
        }
        mRouters.add(new Router("r1"));
        mRouters.add(new Router("r2"));
    }

    private static DesiredState order(int version, long offset) {
        return new DesiredState(POOL, "lettering@" + version, Set.of(), Optional.empty(), offset);
    }

    /** An operator sets the next version. */
    void changeSetting() {
        int version = Integer.parseInt(mSetting.version().split("@", 2)[1]) + 1;
        mSetting = order(version, mSetting.offset() + 10);
    }

    FakeEngine engine(UpstreamId id) {
        return mEngines.stream().filter(each -> each.mId.equals(id)).findFirst().orElseThrow();
    }

    void turn() {
        mNowMillis += TURN_MILLIS;
        mRouters.stream().filter(router -> !router.mPaused).forEach(Router::turn);
        checkCopies();
    }

    private void checkCopies() {
        boolean served =
                mEngines.stream().anyMatch(engine -> !engine.mDead && engine.servesSomething());
        assertThat(served).as("a copy in the pool").isTrue();
    }

    void turnFor(long millis) {
        for (long passed = 0; passed < millis; passed += TURN_MILLIS) {
            turn();
        }
    }

    private static RouterMember member(InstanceId id) {
        return new RouterMember(id, 1, DOMAIN, "127.0.0.1", 1, MemberState.LIVE);
    }

    private List<UpstreamMember> listedUpstreams() {
        return mListed.entrySet().stream()
                .map(
                        each ->
                                new UpstreamMember(
                                        each.getKey(),
                                        DOMAIN,
                                        TargetKind.MODEL,
                                        Set.of("lettering"),
                                        "127.0.0.1",
                                        1,
                                        each.getValue()))
                .toList();
    }

    /** A router process that reads, asks and gives orders by hand. */
    final class Router {
        final InstanceId mId;
        private OrderPlanner mPlanner;
        private MemberTable mTable;
        private final Map<UpstreamId, EngineState> mReports = new HashMap<>();
        private DesiredState mKnownSetting = mSetting;
        private long mConfigReadAtMillis;
        boolean mCutOff;
        boolean mPaused;
        OrderStep mStep = OrderStep.WATCHING;
        Optional<OrderAction.SendOrder> mUnsent = Optional.empty();
        private boolean mHoldsOrders;

        Router(String name) {
            mId = new InstanceId(name);
            restart();
        }

        void restart() {
            mPlanner = new OrderPlanner(mId);
            mTable = new MemberTable(member(mId), mNowMillis);
            mReports.clear();
            mUnsent = Optional.empty();
        }

        /** Makes the router keep its next order instead of sending it. */
        void holdOrders() {
            mHoldsOrders = true;
        }

        void releaseOrders() {
            mHoldsOrders = false;
        }

        void turn() {
            hear();
            if (!mCutOff && !mLogOut) {
                mKnownSetting = mSetting;
                mConfigReadAtMillis = mNowMillis;
            }
            OrderContext context =
                    new OrderContext(
                            mTable.view(mNowMillis),
                            mConfigReadAtMillis,
                            Optional.of(RATE_BYTES_PER_SECOND),
                            Map.of(mKnownSetting.version(), SIZE_BYTES),
                            1);
            List<EngineState> reports = List.copyOf(mReports.values());
            PoolPlan plan = mPlanner.plan(mKnownSetting, reports, context, mNowMillis);
            mStep = plan.step();
            plan.actions().forEach(this::carryOut);
        }

        private void hear() {
            if (mCutOff) {
                return;
            }
            if (mListLost) {
                mTable.applyList(List.of(), List.of(), mNowMillis);
            } else {
                List<RouterMember> routers =
                        mRouters.stream().map(router -> member(router.mId)).toList();
                mTable.applyList(routers, listedUpstreams(), mNowMillis);
            }
            for (Router peer : mRouters) {
                if (!peer.mCutOff && !peer.mPaused) {
                    mTable.heartbeatReceived(peer.mId, 1, false, mNowMillis);
                }
            }
        }

        private void carryOut(OrderAction action) {
            if (action instanceof OrderAction.ReadState read) {
                FakeEngine engine = engine(read.upstream());
                if (!mCutOff && !engine.mDead) {
                    mReports.put(read.upstream(), engine.report(mNowMillis));
                }
            } else if (action instanceof OrderAction.SendOrder order) {
                mUnsent = Optional.of(order);
                if (!mHoldsOrders) {
                    sendUnsent();
                }
            }
        }

        /** Sends the order that was decided, however late it has become. */
        void sendUnsent() {
            if (mUnsent.isEmpty()) {
                return;
            }
            OrderAction.SendOrder order = mUnsent.get();
            mUnsent = Optional.empty();
            OrderOutcome end =
                    mCutOff ? OrderOutcome.REFUSED : engine(order.upstream()).obey(order);
            mPlanner.orderEnded(POOL, order.upstream(), end, mNowMillis);
        }
    }
}
