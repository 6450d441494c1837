package org.magnoliapick.limit;

import java.util.OptionalLong;
import org.magnoliapick.lib.UpstreamIncarnation;

/**
 * What is known of the cold state of an upstream. All times are those of this instance's clock.
 *
 * @param incarnation the incarnation of the upstream
 * @param service the service that it belongs to
 * @param seenMillis when it was stated, or when the upstream was first listed
 * @param endMillis when the state ends; absent if that was not stated, so that the duration which
 *     the configuration names applies
 */
public record ColdStatement(
        UpstreamIncarnation incarnation, String service, long seenMillis, OptionalLong endMillis) {
    /** Returns for how long the upstream stated to be cold, in milliseconds. */
    OptionalLong statedMillis() {
        return endMillis.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(endMillis.getAsLong() - seenMillis);
    }
}
