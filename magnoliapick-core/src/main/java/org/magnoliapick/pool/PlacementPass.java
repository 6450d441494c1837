package org.magnoliapick.pool;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.relay.Prompt;
import org.magnoliapick.route.EngineSpec;
import org.magnoliapick.route.ServiceSpec;

/**
 * One look at the waiting requests in their order. Each is given the upstream where it costs least,
 * counting those before it; it starts if there is room, and otherwise waits for that one even while
 * others have room that would have to read much of its prompt again.
 */
final class PlacementPass {
    private final Collection<UpstreamLoad> mLoads;
    private final HomeUpstreams mHomes;
    private final Optional<EngineSpec> mEngine;
    private final long mNowMillis;
    private final Map<UpstreamId, Before> mBefore = new HashMap<>();

    PlacementPass(
            Collection<UpstreamLoad> loads,
            HomeUpstreams homes,
            ServiceSpec service,
            long nowMillis) {
        mLoads = loads;
        mHomes = homes;
        mEngine = service.engine();
        mNowMillis = nowMillis;
    }

    /** Returns the best upstream for a request; empty if none takes work. */
    Optional<Choice> best(PoolJob job) {
        Choice best = null;
        for (UpstreamLoad load : mLoads) {
            boolean excluded =
                    job.excluded().contains(load.upstream().id())
                            && job.excluded().size() < mLoads.size();
            if (excluded || !load.health().takesWork(mNowMillis)) {
                continue;
            }
            Choice choice = weigh(job, load);
            if (best == null || choice.cost() < best.cost()) {
                best = choice;
            }
        }
        return Optional.ofNullable(best);
    }

    private Choice weigh(PoolJob job, UpstreamLoad load) {
        Before before = mBefore.getOrDefault(load.upstream().id(), Before.NONE);
        if (mEngine.isEmpty()) {
            return Placing.plain(job, load, before, mNowMillis);
        }
        Prompt prompt = job.prompt();
        boolean home = mHomes.home(prompt.parts()).filter(load.upstream().id()::equals).isPresent();
        long newTokens = load.newTokens(prompt, home);
        return Placing.engine(job, load, newTokens, before, mEngine.get(), mNowMillis);
    }

    /** Notes that a request waits for an upstream, so that those behind it count it. */
    void waitsFor(Choice choice) {
        mBefore.merge(
                choice.load().upstream().id(),
                Before.NONE.and(choice.newTokens()),
                (before, one) -> before.and(one.newTokens()));
    }
}
