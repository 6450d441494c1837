package org.magnoliapick.router.internal.order;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.magnoliapick.order.DesiredState;
import org.magnoliapick.ports.WeightStore;

/** What the weight store says of sizes and its rate; sizes never change, so they are kept. */
@Singleton
final class Weights {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final WeightStore mStore;
    private final Map<String, Long> mSizesBytes = new HashMap<>();

    @Inject
    Weights(WeightStore store) {
        mStore = store;
    }

    Optional<Long> rateBytesPerSecond() {
        return mStore.rateBytesPerSecond(TIMEOUT);
    }

    /** Returns the sizes of what an order wants, as far as the store tells them. */
    Map<String, Long> sizesOf(DesiredState wanted) {
        Set<String> subjects = new LinkedHashSet<>(wanted.adapters());
        subjects.add(wanted.version());
        Map<String, Long> sizes = new HashMap<>();
        for (String subject : subjects) {
            sizeOf(subject).ifPresent(bytes -> sizes.put(subject, bytes));
        }
        return sizes;
    }

    private Optional<Long> sizeOf(String subject) {
        if (!mSizesBytes.containsKey(subject)) {
            mStore.sizeBytes(subject, TIMEOUT).ifPresent(b -> mSizesBytes.put(subject, b));
        }
        return Optional.ofNullable(mSizesBytes.get(subject));
    }
}
