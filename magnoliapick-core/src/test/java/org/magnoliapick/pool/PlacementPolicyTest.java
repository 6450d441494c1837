package org.magnoliapick.pool;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class PlacementPolicyTest {
    /**
     * Guards against unused slots of small engines: in large, 11 of 16 slots were too few for the
     * requests of a calm day.
     */
    @Test
    void usesAllSlotsOfASmallEngine() {
        assertThat(PlacementPolicy.maxRunning(6)).isEqualTo(6);
        assertThat(PlacementPolicy.maxRunning(16)).isEqualTo(16);
    }

    /**
     * Guards against batches that slow down prefill: in scale-1 of yukiwari-draw, a sixth fewer
     * requests were started with all 64 slots in use.
     */
    @Test
    void leavesSlotsOfALargeEngineFree() {
        assertThat(PlacementPolicy.maxRunning(64)).isEqualTo(45);
        assertThat(PlacementPolicy.maxRunning(24)).isEqualTo(17);
    }
}
