package org.magnoliapick.quarantine;

import java.util.Collections;
import java.util.SortedSet;
import java.util.TreeSet;
import org.magnoliapick.lib.UpstreamId;

/**
 * The crash of an upstream while requests that have something in common had received nothing of
 * their answers.
 *
 * @param upstream the upstream
 * @param startedMillis when that incarnation of the upstream started
 * @param requests the fingerprints of the requests; only some of them if there were many
 * @param atMillis when the crash was noticed
 * @param refuted whether a request of the same kind was answered afterwards or shortly before, so
 *     that what they have in common did not cause the crash
 */
public record Sighting(
        UpstreamId upstream,
        long startedMillis,
        SortedSet<String> requests,
        long atMillis,
        boolean refuted) {
    /** The maximum number of requests that are kept; bounds the size of messages. */
    private static final int MAX_REQUESTS = 4;

    /**
     * The time within which reports of a crash of one incarnation are of the same crash, in
     * milliseconds. It is above the delay of a report, and below the time of a restart that the
     * list of upstreams does not show.
     */
    private static final long REPORT_MILLIS = 2_500;

    /** Copies the first of the requests. */
    public Sighting {
        TreeSet<String> first = new TreeSet<>(requests);
        while (first.size() > MAX_REQUESTS) {
            first.pollLast();
        }
        requests = Collections.unmodifiableSortedSet(first);
    }

    boolean sameCrash(Sighting other) {
        return upstream.equals(other.upstream)
                && startedMillis == other.startedMillis
                && Math.abs(atMillis - other.atMillis) < REPORT_MILLIS;
    }

    boolean sharesRequest(Sighting other) {
        return !Collections.disjoint(requests, other.requests);
    }

    /** Returns whether there may be more requests than those that are kept. */
    boolean isFull() {
        return requests.size() == MAX_REQUESTS;
    }

    /**
     * Combines two reports of the same crash. The earlier time is kept, since a report that was
     * delayed on its way seems more recent than it is.
     */
    Sighting merge(Sighting other) {
        TreeSet<String> all = new TreeSet<>(requests);
        all.addAll(other.requests);
        return new Sighting(
                upstream,
                startedMillis,
                all,
                Math.min(atMillis, other.atMillis),
                refuted || other.refuted);
    }

    Sighting asRefuted() {
        return new Sighting(upstream, startedMillis, requests, atMillis, true);
    }
}
