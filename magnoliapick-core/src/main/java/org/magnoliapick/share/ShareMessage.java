package org.magnoliapick.share;

import java.util.List;
import java.util.Optional;
import org.magnoliapick.lib.PoolId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;

/**
 * A message between the {@link ShareNode}s of two entry instances. Every message stands loss,
 * repetition and reordering.
 */
public sealed interface ShareMessage {
    /**
     * Asks nothing and says nothing but that the sender lives.
     *
     * @param sequence counts the sender's messages within its incarnation
     */
    record Heartbeat(long sequence) implements ShareMessage {}

    /**
     * Says that the sender dispatches no more; its pools fall to others at once.
     *
     * @param sequence counts the sender's messages within its incarnation
     */
    record Leaving(long sequence) implements ShareMessage {}

    /**
     * What an instance has waiting for a pool and running there, sent to the pool's dispatcher. All
     * figures are absolute.
     *
     * @param pool the pool
     * @param sequence counts the sender's demand messages for the pool
     * @param receivedSequence the highest {@link Grants#sequence} received from this dispatcher
     * @param full whether everything that is not listed is zero
     * @param workspaces the workspaces, or those that changed
     * @param upstreams the upstreams, or those that changed
     * @param declined upstreams that no waiting request of the sender can use now
     */
    record Demand(
            PoolId pool,
            long sequence,
            long receivedSequence,
            boolean full,
            List<WorkspaceDemand> workspaces,
            List<UpstreamUse> upstreams,
            List<UpstreamId> declined)
            implements ShareMessage {
        /** Copies the lists. */
        public Demand {
            workspaces = List.copyOf(workspaces);
            upstreams = List.copyOf(upstreams);
            declined = List.copyOf(declined);
        }
    }

    /**
     * The demand of one workspace at one instance.
     *
     * @param workspace the workspace
     * @param target the target its requests wait for
     * @param waiting how many wait
     * @param headRankMillis the arrival of the first one with the handicap of its class, in
     *     milliseconds since the epoch
     * @param estimateUnits the estimated cost of the first one, in service units
     * @param usedUnits all service used at the pool in the sender's incarnation; never falls
     * @param inFlightUnits what its running requests are still expected to use
     * @param leadUnits its last known lead over the least served workspace, normalised
     * @param preferred the upstream that holds the prefix of the first one, if one does
     */
    record WorkspaceDemand(
            WorkspaceId workspace,
            String target,
            int waiting,
            long headRankMillis,
            double estimateUnits,
            double usedUnits,
            double inFlightUnits,
            double leadUnits,
            Optional<UpstreamId> preferred) {}

    /**
     * What one instance runs at an upstream.
     *
     * @param upstream the upstream
     * @param inFlight the requests that run there
     * @param gapMillis the observed time between two tokens in milliseconds, 0 while unknown
     */
    record UpstreamUse(UpstreamId upstream, int inFlight, long gapMillis) {}

    /**
     * What a dispatcher lets an instance start.
     *
     * @param pool the pool
     * @param sequence counts the dispatcher's messages to this instance
     * @param backlogged whether requests wait for the pool, so that every free slot is wanted
     * @param windows the standing credits; an upstream that is not listed has none
     * @param grants single starts, to be used at once or handed back
     */
    record Grants(
            PoolId pool,
            long sequence,
            boolean backlogged,
            List<Window> windows,
            List<Grant> grants)
            implements ShareMessage {
        /** Copies the lists. */
        public Grants {
            windows = List.copyOf(windows);
            grants = List.copyOf(grants);
        }
    }

    /**
     * Standing credit: the instance may start requests while fewer than this run there.
     *
     * @param upstream the upstream
     * @param maxInFlight the most requests of the instance that may run there
     */
    record Window(UpstreamId upstream, int maxInFlight) {}

    /**
     * One start for one workspace.
     *
     * @param workspace the workspace
     * @param target the target
     * @param upstream the upstream with the free slot
     * @param leadUnits the lead of the workspace over the least served one, normalised
     */
    record Grant(WorkspaceId workspace, String target, UpstreamId upstream, double leadUnits) {}

    /**
     * The service that the backlogged workspaces received from a pool, sent between the dispatchers
     * of one target in different failure domains.
     *
     * @param pool the sender's pool
     * @param epochMillis when the sender began to dispatch the pool, in milliseconds since the
     *     epoch
     * @param sequence counts the sender's messages of this kind
     * @param totals one entry for each workspace that changed or is backlogged
     */
    record AttainedService(PoolId pool, long epochMillis, long sequence, List<ServiceTotal> totals)
            implements ShareMessage {
        /** Copies the list. */
        public AttainedService {
            totals = List.copyOf(totals);
        }
    }

    /**
     * The service of one workspace at one pool.
     *
     * @param workspace the workspace
     * @param usedUnits all service seen by the sender since it began to dispatch; never falls
     * @param inFlightUnits what running requests are still expected to use
     * @param backlogged whether it has requests waiting for the pool
     */
    record ServiceTotal(
            WorkspaceId workspace, double usedUnits, double inFlightUnits, boolean backlogged) {}
}
