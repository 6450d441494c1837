package org.magnoliapick.bench.driver;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.magnoliapick.bench.scenario.Links;

/** Delay, loss and cuts between failure domains. */
final class Network {
    private final Links mLinks;
    private final RandomGenerator mRandom;
    private final List<Set<String>> mCuts = new ArrayList<>();

    Network(Links links, RandomGenerator random) {
        mLinks = links;
        mRandom = random;
    }

    /** Cuts these failure domains off from the others. */
    void cut(Set<String> side) {
        mCuts.add(side);
    }

    /** Ends a cut. */
    void heal(Set<String> side) {
        mCuts.remove(side);
    }

    /** Returns whether messages pass between two failure domains. */
    boolean connects(String from, String to) {
        for (Set<String> side : mCuts) {
            if (side.contains(from) != side.contains(to)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the one-way delay in microseconds. */
    long delayMicros(String from, String to) {
        return from.equals(to) ? mLinks.inDomainMicros() : mLinks.crossDomainMicros();
    }

    /** Returns whether the next control message is lost. */
    boolean losesNext() {
        return mRandom.nextDouble() < mLinks.lossRatio();
    }
}
