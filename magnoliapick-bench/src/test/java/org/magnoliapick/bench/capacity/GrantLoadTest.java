package org.magnoliapick.bench.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class GrantLoadTest {
    @Test
    void eachEndOfARequestIsFollowedByOneGrant() {
        GrantLoad load = new GrantLoad(100, 40, 9, 5);
        assertThat(load.running()).isEqualTo(5 * 16);

        for (int step = 0; step < 500; step++) {
            assertThat(load.step()).isEqualTo(1);
        }
    }
}
