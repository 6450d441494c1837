package org.magnoliapick.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A small plain service. It records what it ran and removes no duplicates itself. */
public final class ServiceStandin implements AutoCloseable {
    private static final String KEY = "Idempotency-Key";

    private final ServiceOptions mOptions;
    private final StandinServer mServer;
    private final Semaphore mWorkers;
    private final AtomicInteger mRunning = new AtomicInteger();
    private final AtomicInteger mWaiting = new AtomicInteger();
    private final AtomicInteger mTotal = new AtomicInteger();
    private final Map<String, Integer> mRanByKey = new ConcurrentHashMap<>();
    private final Map<String, Integer> mRanByNonce = new ConcurrentHashMap<>();
    private final LaggingReport<Map<String, Object>> mLoad;
    private volatile boolean mDraining;

    private ServiceStandin(ServiceOptions options) {
        mOptions = options;
        mWorkers = new Semaphore(options.mWorkers, true);
        mLoad = new LaggingReport<>(options.mNowMillis, options.mLoadLagMillis, this::takeLoad);
        mServer = new StandinServer(options.mHost, options.mPort);
        mServer.faultyRoute("/", this::serve);
        mServer.route("/load", this::load);
        mServer.route("/ran", this::ran);
        mServer.route("/drain", this::drain);
    }

    /** Starts a service; it listens when this returns. */
    public static ServiceStandin start(ServiceOptions options) {
        ServiceStandin service = new ServiceStandin(options);
        service.mServer.start();
        return service;
    }

    /** Returns the TCP port that it listens on. */
    public int port() {
        return mServer.port();
    }

    /** Returns its fault switches. */
    public FaultSwitches faults() {
        return mServer.faults();
    }

    /** Sets whether new work is refused with the proof that it was not started. */
    public void setDraining(boolean draining) {
        mDraining = draining;
    }

    /** Returns whether new work is refused. */
    public boolean isDraining() {
        return mDraining;
    }

    /** Returns how often each idempotency key ran. */
    public Map<String, Integer> ranByKey() {
        return new TreeMap<>(mRanByKey);
    }

    /** Returns how often each nonce ran. */
    public Map<String, Integer> ranByNonce() {
        return new TreeMap<>(mRanByNonce);
    }

    /** Returns how many calls ran. */
    public int total() {
        return mTotal.get();
    }

    private void serve(Call call) throws IOException {
        if (mDraining) {
            call.refuse();
            return;
        }
        mWaiting.incrementAndGet();
        mWorkers.acquireUninterruptibly();
        mWaiting.decrementAndGet();
        mRunning.incrementAndGet();
        try {
            StandinServer.sleep(mOptions.mLatencyMillis);
            record(call);
        } finally {
            mRunning.decrementAndGet();
            mWorkers.release();
        }
        call.reply(200, answer(call));
    }

    private void record(Call call) {
        mTotal.incrementAndGet();
        String key = call.header(KEY);
        if (!key.isEmpty()) {
            mRanByKey.merge(key, 1, Integer::sum);
        }
        nonceOf(call).ifPresent(nonce -> mRanByNonce.merge(nonce, 1, Integer::sum));
    }

    private static Optional<String> nonceOf(Call call) {
        return call.query("nonce").or(() -> Nonces.find(call.bodyText()));
    }

    private ObjectNode answer(Call call) {
        ObjectNode node = Call.MAPPER.createObjectNode();
        node.put("service", mOptions.mFlavour);
        node.put("path", call.path());
        if (mOptions.mFlavour.equals("draws")) {
            node.put("recipient", "雪割 花子");
        } else {
            node.put("order", "لوح المقهى");
        }
        node.put("heldMillis", mOptions.mLatencyMillis);
        nonceOf(call).ifPresent(nonce -> node.put("nonce", nonce));
        return node;
    }

    private Map<String, Object> takeLoad() {
        return LaggingReport.load(
                mOptions.mNowMillis.getAsLong(),
                mRunning.get(),
                mWaiting.get(),
                mOptions.mWorkers,
                0.0);
    }

    private void load(Call call) throws IOException {
        if (call.takes(Fault.NO_REPORT)) {
            throw new CutException("No report");
        }
        call.reply(200, mLoad.get());
    }

    private void ran(Call call) throws IOException {
        call.reply(200, Map.of("total", total(), "byKey", ranByKey(), "byNonce", ranByNonce()));
    }

    private void drain(Call call) throws IOException {
        mDraining = !call.method().equals("DELETE");
        call.reply(200, Map.of());
    }

    @Override
    public void close() {
        mServer.close();
    }
}
