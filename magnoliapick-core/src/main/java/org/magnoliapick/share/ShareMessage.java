package org.magnoliapick.share;

import java.util.List;
import java.util.Optional;
import org.magnoliapick.lib.PoolId;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.lib.WorkspaceId;

/**
 * A message between the {@link ShareNode}s of two entry instances. Messages may be lost, duplicated
 * and reordered, which receivers must tolerate.
 */
public sealed interface ShareMessage {
    /**
     * Reports only that the sender is alive.
     *
     * @param sequence counts the sender's messages within its incarnation
     */
    record Heartbeat(long sequence) implements ShareMessage {}

    /**
     * Announces that the sender no longer acts as a dispatcher. Other instances take over its pools
     * immediately.
     *
     * @param sequence counts the sender's messages within its incarnation
     */
    record Leaving(long sequence) implements ShareMessage {}

    /**
     * The requests that an instance has waiting for a pool and running there, sent to the pool's
     * dispatcher. All values are absolute, so a later message replaces an earlier one.
     *
     * @param pool the pool
     * @param sequence counts the sender's demand messages for the pool
     * @param receivedSequence the highest {@link Grants#sequence} received from this dispatcher
     * @param full whether this is a full report, in which everything that is not listed is zero
     * @param workspaces all workspaces with demand, or those that changed since the last message
     * @param upstreams all upstreams in use, or those that changed since the last message
     * @param declined upstreams whose grants no waiting request of the sender could use
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
        /** Creates a message; the lists are copied. */
        public Demand {
            workspaces = List.copyOf(workspaces);
            upstreams = List.copyOf(upstreams);
            declined = List.copyOf(declined);
        }
    }

    /**
     * The demand of one workspace for one target at one instance.
     *
     * @param workspace the workspace
     * @param target the model or plain service that its requests wait for
     * @param waiting the number of waiting requests
     * @param headRankMillis the arrival time of the first waiting request plus the {@linkplain
     *     org.magnoliapick.lib.RequestClass#handicapMillis delay} by which its class yields to
     *     urgent requests, in milliseconds since the epoch; earlier values go first
     * @param estimateUnits the estimated cost of the first waiting request, in service units
     *     (tokens for a model, milliseconds for a plain service)
     * @param usedUnits the total service used at the pool in the sender's incarnation; never
     *     decreases
     * @param inFlightUnits the estimated remaining service of its running requests
     * @param leadUnits its last known lead over the least served workspace, in service units
     *     divided by weight; lets a new dispatcher continue from there
     * @param preferred the upstream that probably has the prefix or adapter of the first waiting
     *     request cached, if any
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
     * The use of an upstream by one instance.
     *
     * @param upstream the upstream
     * @param inFlight the number of requests that the instance runs there
     * @param gapMillis the observed time between two tokens in milliseconds; 0 if unknown
     */
    record UpstreamUse(UpstreamId upstream, int inFlight, long gapMillis) {}

    /**
     * The starts that a dispatcher permits to an instance.
     *
     * @param pool the pool
     * @param sequence counts the dispatcher's messages to this instance
     * @param backlogged whether requests are waiting for the pool, so that every free slot is
     *     needed; the instance then reports freed slots immediately
     * @param windows the standing credits, which replace all earlier ones; an upstream that is not
     *     listed has none
     * @param grants permissions for single starts, each to be used immediately or declined
     */
    record Grants(
            PoolId pool,
            long sequence,
            boolean backlogged,
            List<Window> windows,
            List<Grant> grants)
            implements ShareMessage {
        /** Creates a message; the lists are copied. */
        public Grants {
            windows = List.copyOf(windows);
            grants = List.copyOf(grants);
        }
    }

    /**
     * A standing credit: the instance may start requests at the upstream without a grant while it
     * runs fewer than {@code maxInFlight} there.
     *
     * @param upstream the upstream
     * @param maxInFlight the maximum number of requests of the instance in flight there
     */
    record Window(UpstreamId upstream, int maxInFlight) {}

    /**
     * Permission to start one request of a workspace.
     *
     * @param workspace the workspace
     * @param target the requested model or plain service
     * @param upstream the upstream with the free slot
     * @param leadUnits the lead of the workspace over the least served one, in service units
     *     divided by weight
     */
    record Grant(WorkspaceId workspace, String target, UpstreamId upstream, double leadUnits) {}

    /**
     * The service that workspaces received from a pool, exchanged between the dispatchers of one
     * target in different failure domains.
     *
     * @param pool the sender's pool
     * @param epochMillis when the sender became the dispatcher of the pool, in milliseconds since
     *     the epoch
     * @param sequence counts the sender's messages of this kind
     * @param totals an entry for each workspace that changed or is backlogged
     */
    record AttainedService(PoolId pool, long epochMillis, long sequence, List<ServiceTotal> totals)
            implements ShareMessage {
        /** Creates a message; the list is copied. */
        public AttainedService {
            totals = List.copyOf(totals);
        }
    }

    /**
     * The service that one workspace received from one pool.
     *
     * @param workspace the workspace
     * @param usedUnits the total service seen by the sender since it became dispatcher; never
     *     decreases
     * @param inFlightUnits the estimated remaining service of its running requests
     * @param backlogged whether it has requests waiting for the pool
     */
    record ServiceTotal(
            WorkspaceId workspace, double usedUnits, double inFlightUnits, boolean backlogged) {}
}
