package org.magnoliapick.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.relay.PromptPart;
import org.magnoliapick.relay.RelayRequest;

/** The engines of a {@link FakeFleet} and the parts that make them crash. */
final class FakeEngines {
    private final Map<UpstreamId, FakeEngine> mEngines = new LinkedHashMap<>();
    private final Set<String> mPoison = new HashSet<>();
    private final Map<String, List<Long>> mCrashMillis = new HashMap<>();

    void add(FakeEngine engine) {
        mEngines.put(engine.upstream().id(), engine);
    }

    void remove(FakeEngine engine) {
        mEngines.remove(engine.upstream().id());
    }

    Optional<FakeEngine> find(UpstreamId id) {
        return Optional.ofNullable(mEngines.get(id));
    }

    /** Returns the engines in the order in which they were added. */
    List<FakeEngine> all() {
        return List.copyOf(mEngines.values());
    }

    /** Returns any of the running engines. */
    Optional<FakeEngine> anyRunning(Random random) {
        List<FakeEngine> running = all().stream().filter(FakeEngine::isRunning).toList();
        return running.isEmpty()
                ? Optional.empty()
                : Optional.of(running.get(random.nextInt(running.size())));
    }

    void poison(String part) {
        mPoison.add(part);
    }

    void cure(String part) {
        mPoison.remove(part);
    }

    /** Returns the first part of a request that makes engines crash. */
    Optional<String> poisonPart(RelayRequest request) {
        return request.prompt().parts().stream()
                .map(PromptPart::id)
                .filter(mPoison::contains)
                .findFirst();
    }

    void recordCrash(String part, long nowMillis) {
        mCrashMillis.computeIfAbsent(part, each -> new ArrayList<>()).add(nowMillis);
    }

    /** Returns when engines crashed because of a part, in order. */
    List<Long> crashMillis(String part) {
        return mCrashMillis.getOrDefault(part, List.of());
    }
}
