package org.magnoliapick.ports;

import java.time.Duration;
import java.util.Optional;

/** The store that engines load weights from; its rate is limited. */
public interface WeightStore {
    /** Returns the bytes of a model version or adapter. */
    Optional<Long> sizeBytes(String subject, Duration timeout);

    /** Returns the rate that all loads share, in bytes a second. */
    Optional<Long> rateBytesPerSecond(Duration timeout);
}
