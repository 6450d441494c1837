package org.magnoliapick.ports;

import java.time.Duration;
import java.util.Optional;
import org.magnoliapick.share.LoadReport;

/** A plain service beside the model engines. Calls block; each has a deadline. */
public interface PlainService {
    /** Calls the service once. */
    ServiceResult call(Endpoint service, ServiceCall call);

    /** Returns the service's own, lagging, view of its load. */
    Optional<LoadReport> load(Endpoint service, Duration timeout);
}
