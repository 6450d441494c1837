package org.magnoliapick.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** What an engine stand-in holds, and the orders that change it. */
final class EngineOrders {
    private static final long NO_NUMBER = -1;

    private final boolean mHonoursFencing;
    private final TreeSet<String> mModels;
    private final TreeSet<String> mAdapters = new TreeSet<>();
    private String mRole;
    private long mFencingNumber = NO_NUMBER;

    EngineOrders(EngineOptions options) {
        mHonoursFencing = options.mHonoursFencing;
        mModels = new TreeSet<>(options.mModels);
        mRole = options.mRole;
    }

    synchronized List<String> models() {
        return List.copyOf(mModels);
    }

    /** Returns whether a model is loaded, asked for with or without its version. */
    synchronized boolean serves(String model) {
        if (mModels.contains(model)) {
            return true;
        }
        String next = mModels.ceiling(model + "@");
        return next != null && next.startsWith(model + "@");
    }

    synchronized Map<String, Object> state() {
        return Map.of(
                "models",
                List.copyOf(mModels),
                "adapters",
                List.copyOf(mAdapters),
                "role",
                mRole,
                "fencingNumber",
                mFencingNumber);
    }

    void take(Call call) throws IOException {
        JsonNode order = call.json();
        int status = apply(order);
        call.reply(status, Map.of());
    }

    private synchronized int apply(JsonNode order) {
        long number = order.path("fencingNumber").asLong(NO_NUMBER);
        if (mHonoursFencing) {
            if (number < mFencingNumber) {
                return 409;
            }
            mFencingNumber = number;
        }
        String subject = order.path("subject").asText();
        switch (order.path("kind").asText()) {
            case "LOAD_MODEL":
                mModels.add(subject);
                return 200;
            case "UNLOAD_MODEL":
                mModels.remove(subject);
                return 200;
            case "LOAD_ADAPTER":
                mAdapters.add(subject);
                return 200;
            case "UNLOAD_ADAPTER":
                mAdapters.remove(subject);
                return 200;
            case "SET_ROLE":
                mRole = subject;
                return 200;
            default:
                return 400;
        }
    }
}
