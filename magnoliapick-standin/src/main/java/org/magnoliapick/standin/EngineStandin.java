package org.magnoliapick.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** A small model engine: it batches, streams, caches prefixes, reports late and takes orders. */
public final class EngineStandin implements AutoCloseable {
    private static final int MAX_KNOWN_ATTEMPTS = 10_000;
    private static final String EVENTS = "text/event-stream; charset=utf-8";
    private static final String RESUME_FROM = "Magnoliapick-Resume-From";
    private static final byte[] OVERLONG_EVENT = new byte[1024 * 1024];

    private final EngineOptions mOptions;
    private final StandinServer mServer;
    private final EngineBatch mBatch;
    private final PrefixCache mCache;
    private final EngineOrders mOrders;
    private final LaggingReport<Map<String, Object>> mLoad;
    private final Map<String, EngineBatch.Attempt> mRunning = new ConcurrentHashMap<>();
    private final Map<String, Boolean> mKnown = Collections.synchronizedMap(new KnownAttempts());
    private final AtomicLong mStarted = new AtomicLong();
    private final AtomicLong mFinished = new AtomicLong();
    private final AtomicLong mCancelled = new AtomicLong();
    private volatile boolean mDraining;

    private EngineStandin(EngineOptions options) {
        mOptions = options;
        mBatch = new EngineBatch(options);
        mCache = new PrefixCache(options);
        mOrders = new EngineOrders(options);
        mLoad = new LaggingReport<>(options.mNowMillis, options.mLoadLagMillis, this::takeLoad);
        mServer = new StandinServer(options.mHost, options.mPort);
        mServer.faultyRoute("/v1/chat/completions", call -> complete(call, true));
        mServer.faultyRoute("/v1/completions", call -> complete(call, false));
        mServer.route("/v1/models", call -> call.reply(200, models()));
        mServer.route("/attempts/", this::cancel);
        mServer.route("/load", this::load);
        mServer.route("/cache/events", this::cacheEvents);
        mServer.route("/state", call -> call.reply(200, mOrders.state()));
        mServer.faultyRoute("/orders", mOrders::take);
        mServer.route("/stats", call -> call.reply(200, stats()));
        mServer.route("/drain", this::drain);
    }

    /** Starts an engine; it listens when this returns. */
    public static EngineStandin start(EngineOptions options) {
        EngineStandin engine = new EngineStandin(options);
        engine.mServer.start();
        return engine;
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

    /** Returns how many attempts took a slot. */
    public long started() {
        return mStarted.get();
    }

    /** Returns how many attempts ended whole. */
    public long finished() {
        return mFinished.get();
    }

    /** Returns how many attempts were cancelled. */
    public long cancelled() {
        return mCancelled.get();
    }

    /** Returns how many attempts are in the batch now. */
    public int running() {
        return mBatch.running();
    }

    private void complete(Call call, boolean isChat) throws IOException {
        if (mDraining) {
            call.refuse();
            return;
        }
        JsonNode request = call.json();
        if (!request.isObject()) {
            call.reply(400, EngineText.error("The body is not a JSON object"));
            return;
        }
        EngineText text = new EngineText(request, isChat);
        if (!mOrders.serves(text.model())) {
            call.reply(404, EngineText.error("No model " + text.model()));
            return;
        }
        String id = call.header(Call.ATTEMPT);
        String resumeFrom = call.header(RESUME_FROM);
        if (!resumeFrom.isEmpty() && !mKnown.containsKey(id)) {
            call.refuse();
            return;
        }
        mKnown.put(id, Boolean.TRUE);
        run(call, text, id, resumeFrom.isEmpty() ? 0 : Integer.parseInt(resumeFrom));
    }

    private void run(Call call, EngineText text, String id, int resumeFrom) throws IOException {
        EngineBatch.Attempt attempt = new EngineBatch.Attempt();
        mRunning.put(id, attempt);
        try {
            if (!mBatch.enter(attempt)) {
                throw cancelled(id);
            }
            try {
                generate(call, text, attempt, resumeFrom);
                mFinished.incrementAndGet();
            } finally {
                mBatch.leave();
            }
        } finally {
            mRunning.remove(id, attempt);
        }
    }

    private void generate(Call call, EngineText text, EngineBatch.Attempt attempt, int resumeFrom)
            throws IOException {
        mStarted.incrementAndGet();
        attempt.restartClock();
        int hitBytes = mCache.take(text.prompt());
        long prefillTokens = text.promptTokens() - EngineText.tokensOfBytes(hitBytes);
        String id = call.header(Call.ATTEMPT);
        if (!mBatch.prefill(attempt, Math.max(0, prefillTokens))) {
            throw cancelled(id);
        }
        List<String> tokens = text.tokens();
        if (text.isStream()) {
            stream(call, text.chunks(id, tokens), attempt, resumeFrom);
            return;
        }
        for (int i = 0; i < tokens.size(); i++) {
            if (!mBatch.decode(attempt)) {
                throw cancelled(id);
            }
        }
        call.reply(200, text.whole(id, tokens));
    }

    private void stream(
            Call call, List<ObjectNode> chunks, EngineBatch.Attempt attempt, int resumeFrom)
            throws IOException {
        OutputStream out = call.startStream(EVENTS);
        boolean isHalf = call.takes(Fault.HALF_ANSWER);
        for (int i = resumeFrom; i < chunks.size(); i++) {
            if (!mBatch.decode(attempt)) {
                throw cancelled(call.header(Call.ATTEMPT));
            }
            if (isHalf && i >= chunks.size() / 2) {
                throw new CutException("Half of the stream is sent");
            }
            writeEvent(out, Call.MAPPER.writeValueAsBytes(chunks.get(i)));
        }
        endStream(call, out);
    }

    private static void endStream(Call call, OutputStream out) throws IOException {
        if (call.takes(Fault.MALFORMED)) {
            writeEvent(out, "{\"choices\": [".getBytes(StandardCharsets.UTF_8));
        } else if (call.takes(Fault.WRONG_TYPE)) {
            writeEvent(out, "[\"not\", \"an object\"]".getBytes(StandardCharsets.UTF_8));
        } else if (call.takes(Fault.OVERLONG)) {
            writeEvent(out, OVERLONG_EVENT);
        } else if (call.takes(Fault.ERROR_EVENT)) {
            out.write("event: error\n".getBytes(StandardCharsets.UTF_8));
            writeEvent(out, "{\"error\":\"out of memory\"}".getBytes(StandardCharsets.UTF_8));
        } else if (!call.takes(Fault.NO_END_MARK)) {
            writeEvent(out, "[DONE]".getBytes(StandardCharsets.UTF_8));
        }
        call.endStream();
    }

    private static void writeEvent(OutputStream out, byte[] data) throws IOException {
        byte[] event = new byte[data.length + 8];
        System.arraycopy("data: ".getBytes(StandardCharsets.UTF_8), 0, event, 0, 6);
        System.arraycopy(data, 0, event, 6, data.length);
        event[event.length - 2] = '\n';
        event[event.length - 1] = '\n';
        out.write(event);
        out.flush();
    }

    private CutException cancelled(String id) {
        mCancelled.incrementAndGet();
        return new CutException("Cancelled " + id);
    }

    private void cancel(Call call) throws IOException {
        EngineBatch.Attempt attempt = mRunning.get(call.pathAfter("/attempts/"));
        if (attempt != null) {
            attempt.cancel();
        }
        call.reply(attempt == null ? 404 : 200, Map.of());
    }

    private Map<String, Object> models() {
        List<Map<String, String>> models =
                mOrders.models().stream()
                        .map(model -> Map.of("id", model, "object", "model"))
                        .toList();
        return Map.of("object", "list", "data", models);
    }

    private Map<String, Object> takeLoad() {
        return LaggingReport.load(
                mOptions.mNowMillis.getAsLong(),
                mBatch.running(),
                mBatch.waiting(),
                mOptions.mMaxRunning,
                mCache.usedRatio());
    }

    private void load(Call call) throws IOException {
        if (call.takes(Fault.NO_REPORT)) {
            throw new CutException("No report");
        }
        call.reply(200, mLoad.get());
    }

    private void cacheEvents(Call call) throws IOException {
        call.reply(200, mCache.eventsAfter(call.queryLong("after", 0)));
    }

    private void drain(Call call) throws IOException {
        mDraining = !call.method().equals("DELETE");
        call.reply(200, Map.of());
    }

    private Map<String, Object> stats() {
        return Map.of("started", started(), "finished", finished(), "cancelled", cancelled());
    }

    @Override
    public void close() {
        mServer.close();
    }

    private static final class KnownAttempts extends LinkedHashMap<String, Boolean> {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_KNOWN_ATTEMPTS;
        }
    }
}
