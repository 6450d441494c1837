package org.magnoliapick.ports;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** The platform's list of live and leaving instances. It lags. Calls block. */
public interface InstanceList {
    /** Returns the list, or empty if the platform did not answer or its answer was broken. */
    Optional<List<ListedMember>> fetch(Duration timeout);

    /** Enters or renews a member; returns whether the platform took it. */
    boolean register(ListedMember member, Duration timeout);
}
