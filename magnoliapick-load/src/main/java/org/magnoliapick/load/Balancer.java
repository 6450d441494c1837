package org.magnoliapick.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.HttpHost;

/** Picks entry instances in turn and leaves out those that do not say that they are ready. */
final class Balancer implements AutoCloseable {
    private static final long CHECK_MILLIS = 200;

    private final LoadClient mClient;
    private final List<HttpHost> mRouters;
    private final String mReadyPath;
    private final Map<HttpHost, Boolean> mIsReady = new ConcurrentHashMap<>();
    private final AtomicInteger mNext = new AtomicInteger();
    private final List<Thread> mThreads = new ArrayList<>();

    Balancer(LoadClient client, LoadPlan plan) {
        mClient = client;
        mRouters = plan.routers().stream().map(Address::parse).toList();
        mReadyPath = plan.readyPath();
    }

    /** Starts to ask each instance regularly, after one round now. */
    void start() {
        if (mReadyPath.isBlank()) {
            return;
        }
        for (HttpHost router : mRouters) {
            check(router);
            Thread thread = new Thread(() -> checkForever(router), "balancer");
            thread.setDaemon(true);
            thread.start();
            mThreads.add(thread);
        }
    }

    private void checkForever(HttpHost router) {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                Thread.sleep(CHECK_MILLIS);
                check(router);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void check(HttpHost router) {
        mIsReady.put(router, mClient.get(router, mReadyPath).isPresent());
    }

    HttpHost next() {
        HttpHost candidate = mRouters.get(0);
        for (int i = 0; i < mRouters.size(); i++) {
            int index = Math.floorMod(mNext.getAndIncrement(), mRouters.size());
            candidate = mRouters.get(index);
            if (mIsReady.getOrDefault(candidate, true)) {
                return candidate;
            }
        }
        return candidate;
    }

    /** Stops asking; a question that is under way is answered first. */
    @Override
    public void close() throws InterruptedException {
        for (Thread thread : mThreads) {
            thread.interrupt();
            thread.join();
        }
    }
}
