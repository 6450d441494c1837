package org.magnoliapick.bench.report;

import java.util.List;
import org.magnoliapick.bench.driver.ServiceMeter;

/** The part of the slots of a target that was used while work waited for it. */
public final class Utilisation {
    private Utilisation() {}

    /** Returns the part used within windows, from 0 to 1; 1 where no work waited. */
    public static double of(ServiceMeter meter, int target, List<Windows.Window> windows) {
        double busy = 0;
        double offered = 0;
        for (Windows.Window window : windows) {
            busy += meter.busyMicros(window.last())[target];
            busy -= meter.busyMicros(window.first())[target];
            offered += meter.offeredMicros(window.last())[target];
            offered -= meter.offeredMicros(window.first())[target];
        }
        return offered <= 0 ? 1 : busy / offered;
    }
}
