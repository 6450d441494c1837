package org.magnoliapick.pool;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class PlacementPolicyTest {
    /** Replays large: 11 of 16 slots were fewer than a calm day's requests need. */
    @Test
    void fillsASmallEngineWhole() {
        assertThat(PlacementPolicy.batch(6)).isEqualTo(6);
        assertThat(PlacementPolicy.batch(16)).isEqualTo(16);
    }

    /** Replays scale-1 of yukiwari-draw: with all 64 slots filled a sixth less was begun. */
    @Test
    void leavesSlotsOfALargeEngineFree() {
        assertThat(PlacementPolicy.batch(64)).isEqualTo(45);
        assertThat(PlacementPolicy.batch(24)).isEqualTo(17);
    }
}
