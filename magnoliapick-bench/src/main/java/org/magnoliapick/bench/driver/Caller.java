package org.magnoliapick.bench.driver;

import java.util.List;
import java.util.SplittableRandom;
import org.magnoliapick.bench.scenario.Load;

/** Callers of one workspace that ask for one target: draws what they ask and where. */
final class Caller {
    private final Flow mFlow;
    private final Load mLoad;
    private final List<RouterSlot> mRouters;
    private final List<RouterSlot> mAllRouters;
    private final SplittableRandom mCosts;
    private final SplittableRandom mPlaces;

    Caller(
            Flow flow,
            Load load,
            List<RouterSlot> routers,
            List<RouterSlot> allRouters,
            SplittableRandom random) {
        mFlow = flow;
        mLoad = load;
        mRouters = routers;
        mAllRouters = allRouters;
        mCosts = random.split();
        mPlaces = random.split();
    }

    Flow flow() {
        return mFlow;
    }

    Load load() {
        return mLoad;
    }

    /** Draws the cost of the next request, in service units. */
    double drawCost() {
        return mLoad.cost().draw(mCosts);
    }

    /** Returns the source of random hints. */
    SplittableRandom random() {
        return mCosts;
    }

    /** Draws the time to the next arrival of a Poisson process, in microseconds. */
    long drawGapMicros() {
        double seconds = -Math.log(1 - mPlaces.nextDouble()) / mLoad.perSecond();
        return Times.ofSeconds(seconds);
    }

    /** Returns the entry instance for a fixed caller, or the next one that is up. */
    RouterSlot routerOf(int caller) {
        return nextUp(Math.floorMod(caller, mRouters.size()));
    }

    /** Draws the entry instance of the next arrival. */
    RouterSlot drawRouter() {
        return nextUp(mPlaces.nextInt(mRouters.size()));
    }

    private RouterSlot nextUp(int first) {
        for (int i = 0; i < mRouters.size(); i++) {
            RouterSlot router = mRouters.get((first + i) % mRouters.size());
            if (router.mUp) {
                return router;
            }
        }
        int start = mRouters.get(first).mIndex;
        for (int i = 0; i < mAllRouters.size(); i++) {
            RouterSlot router = mAllRouters.get((start + i) % mAllRouters.size());
            if (router.mUp) {
                return router;
            }
        }
        throw new IllegalStateException("No entry instance is up");
    }
}
