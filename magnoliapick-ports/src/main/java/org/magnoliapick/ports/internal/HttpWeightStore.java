package org.magnoliapick.ports.internal;

import java.time.Duration;
import java.util.Optional;
import org.magnoliapick.ports.Endpoint;
import org.magnoliapick.ports.WeightStore;

/** Reaches the weight store over HTTP. */
final class HttpWeightStore implements WeightStore {
    private final JsonClient mClient;
    private final Endpoint mStore;

    HttpWeightStore(HttpTransport transport, Endpoint store) {
        mClient = new JsonClient(transport);
        mStore = store;
    }

    @Override
    public Optional<Long> sizeBytes(String subject, Duration timeout) {
        String path = "/weights/" + Paths.encode(subject);
        return mClient.get(mStore, path, timeout, node -> Json.longAt(node, "sizeBytes"));
    }

    @Override
    public Optional<Long> rateBytesPerSecond(Duration timeout) {
        return mClient.get(mStore, "/rate", timeout, node -> Json.longAt(node, "bytesPerSecond"));
    }
}
