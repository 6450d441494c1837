package org.magnoliapick.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.magnoliapick.route.RouteKind;

final class RelayRequestTest {
    /**
     * A request must not be sent after its deadline. In the run large, trouble-1 on small machines
     * an upstream was found 1.3 s after the deadline.
     */
    @Test
    void expiresAtTheEffectiveDeadline() {
        RelayRequest request = Requests.request(RouteKind.SAFE, false);
        long deadlineMillis = request.effectiveDeadlineMillis();
        assertThat(request.isExpired(deadlineMillis - 1)).isFalse();
        assertThat(request.isExpired(deadlineMillis)).isTrue();
    }
}
