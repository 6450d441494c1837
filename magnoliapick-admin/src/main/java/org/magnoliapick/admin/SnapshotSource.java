package org.magnoliapick.admin;

import java.util.List;

/** Where an instance without state finds the state of others. */
public interface SnapshotSource {
    /** A source that knows nobody. */
    SnapshotSource NONE = List::of;

    /** Returns the snapshots of the instances that answered. May block for a bounded time. */
    List<byte[]> fetch();
}
