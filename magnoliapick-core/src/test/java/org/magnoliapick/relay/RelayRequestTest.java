package org.magnoliapick.relay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.magnoliapick.route.RouteKind;

final class RelayRequestTest {
    /** Replays large, trouble-1 on small machines: a place was found 1.3 s after the deadline. */
    @Test
    void isOverOnceItsFinalAnswerWasDue() {
        RelayRequest request = Requests.request(RouteKind.SAFE, false);
        long dueMillis = request.effectiveDeadlineMillis();
        assertThat(request.isExpired(dueMillis - 1)).isFalse();
        assertThat(request.isExpired(dueMillis)).isTrue();
    }
}
