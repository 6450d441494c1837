package org.magnoliapick.ports;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.share.LoadReport;

/** A model engine. Calls block; each has a deadline. */
public interface ModelEngine {
    /** Runs an attempt and feeds its answer to the stream until its end or failure. */
    void run(Endpoint engine, ModelCall call, ModelStream stream);

    /** Cancels an attempt, wherever it stands. */
    void cancel(Endpoint engine, AttemptId attempt);

    /** Returns the engine's own, lagging, view of its load. */
    Optional<LoadReport> load(Endpoint engine, Duration timeout);

    /** Returns cache events after the given number; there may be gaps. */
    Optional<CacheEvents> cacheEvents(Endpoint engine, long afterSequence, Duration timeout);

    /** Returns what is loaded. */
    Optional<LoadedState> loaded(Endpoint engine, Duration timeout);

    /** Gives an order. */
    OrderResult order(Endpoint engine, EngineOrder order, Duration timeout);

    /**
     * Cache events in the order the engine published them.
     *
     * @param lastSequence the number of the last event
     * @param stored hashes of prefix blocks stored
     * @param evicted hashes of prefix blocks evicted
     */
    record CacheEvents(long lastSequence, List<Long> stored, List<Long> evicted) {}

    /**
     * What an engine holds.
     *
     * @param models models with version, such as {@code gift-writer@3}
     * @param adapters adapters
     * @param role its role, such as {@code decode}
     * @param fencingNumber the highest fencing number that it has taken; -1 if it keeps none
     */
    record LoadedState(
            List<String> models, List<String> adapters, String role, long fencingNumber) {}

    /**
     * An order to an engine.
     *
     * @param kind what to do
     * @param subject the model with version, the adapter, or the role
     * @param fencingNumber grows with every new orderer's configuration; old ones may be refused
     */
    record EngineOrder(Kind kind, String subject, long fencingNumber) {
        /** What an order does. */
        public enum Kind {
            /** Load a model version. */
            LOAD_MODEL,
            /** Drop a model version. */
            UNLOAD_MODEL,
            /** Load an adapter. */
            LOAD_ADAPTER,
            /** Drop an adapter. */
            UNLOAD_ADAPTER,
            /** Change the role. */
            SET_ROLE
        }
    }

    /** How an order ended. */
    enum OrderResult {
        /** Done or under way. */
        ACCEPTED,
        /** The fencing number was old. */
        FENCED,
        /** The engine refused it for another reason. */
        REFUSED,
        /** No answer: done or not is unknown. */
        UNKNOWN
    }
}
