package org.magnoliapick.bench.policy;

import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.share.ShareNode;

/** A policy under test: what makes the node of each entry instance. */
public interface Policy {
    /** Makes the nodes of one run. */
    interface Nodes {
        /** Makes the node of an entry instance that starts now, without memory. */
        ShareNode create(InstanceId self, FailureDomain domain, long incarnation, long seed);
    }

    /** Returns the name used in options and rows. */
    String label();

    /** Returns whether all entry instances drive one and the same node. */
    boolean sharesOneNode();

    /** Returns whether its messages hold all that they tell, so that their size counts. */
    boolean messagesAreWhole();

    /** Starts a run. */
    Nodes open(Oracle oracle);
}
