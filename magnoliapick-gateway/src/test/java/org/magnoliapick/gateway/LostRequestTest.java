package org.magnoliapick.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against requests without an answer beside changes of the configuration. Callers keep their
 * connections, send slowly and pipeline, while the configuration changes in each way. The system
 * properties {@code lost.seeds}, {@code lost.callers} and {@code lost.rounds} enlarge the test.
 */
@Timeout(600)
final class LostRequestTest {
    private static final int SEEDS = Integer.getInteger("lost.seeds", 1);
    private static final int CALLERS = Integer.getInteger("lost.callers", 16);
    private static final int ROUNDS = Integer.getInteger("lost.rounds", 6);
    private static final int REQUESTS_OF_A_ROUND = 3;

    private static final long LOW_IDLE_MILLIS = 50_000;
    private static final long HIGH_IDLE_MILLIS = 100_000;

    private final Queue<String> mLost = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mSent = new AtomicInteger();
    private final AtomicInteger mAnswered = new AtomicInteger();
    private final AtomicBoolean mHold = new AtomicBoolean();
    private CyclicBarrier mBarrier;

    @Test
    void answersEachRequest() throws Exception {
        for (int seed = 1; seed <= SEEDS; seed++) {
            play(seed);
            assertThat(mLost).as("seed %d", seed).isEmpty();
            assertThat(mAnswered.get()).as("seed %d", seed).isEqualTo(mSent.get());
        }
        assertThat(mSent.get())
                .isGreaterThanOrEqualTo(SEEDS * CALLERS * ROUNDS * REQUESTS_OF_A_ROUND);
    }

    private void play(int seed) throws Exception {
        Random random = new Random(seed);
        mHold.set(false);
        mBarrier = new CyclicBarrier(CALLERS + 1);
        Changes changes = new Changes(random);
        try (RunningGateway gateway = new RunningGateway(new ConfigDialect(), changes.text())) {
            changes.start(gateway);
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                Caller caller = new Caller(gateway, seed + "/" + i, new Random(random.nextLong()));
                Thread thread = new Thread(caller::run, "caller-" + i);
                callers.add(thread);
                thread.start();
            }
            for (int round = 0; round < ROUNDS; round++) {
                mBarrier.await();
                changes.next();
                changes.next();
                mBarrier.await();
                // What callers may be idle: four fifths of the limit at their last response.
                long idleMillis = changes.idleLimitMillis() * 4 / 5;
                changes.next();
                gateway.advanceClock(idleMillis);
            }
            mHold.set(true);
            mBarrier.await();
            // All callers have sent their last requests.
            mBarrier.await();
            gateway.beginStop();
            mHold.set(false);
            for (Thread caller : callers) {
                caller.join();
            }
        } finally {
            mHold.set(false);
        }
    }

    private boolean respond(String request, Socket socket) throws IOException {
        while (mHold.get()) {
            Thread.onSpinWait();
        }
        if (request.contains(" /stream/")) {
            FakeServer.write(socket, RunningGateway.streamHead(request) + RunningGateway.event(1));
            FakeServer.write(socket, RunningGateway.event(2) + "0\r\n\r\n");
        } else {
            FakeServer.write(socket, RunningGateway.response(request));
        }
        return true;
    }

    /** The changes of the configuration and of the upstreams. */
    private final class Changes {
        private final Random mRandom;
        private RunningGateway mGateway;
        private int mAddedRoutes;
        private boolean mMoved;
        private boolean mRouteRemoved;
        private boolean mServiceRemoved;
        private boolean mLowIdle;
        private boolean mLongTimeout;
        private boolean mKeys;
        private boolean mUpstreamRemoved;

        private Changes(Random random) {
            mRandom = random;
        }

        private void start(RunningGateway gateway) throws IOException {
            mGateway = gateway;
            gateway.addUpstream("a1", "a", LostRequestTest.this::respond);
            gateway.addUpstream("a2", "a", LostRequestTest.this::respond);
            gateway.addUpstream("b1", "b", LostRequestTest.this::respond);
        }

        private long idleLimitMillis() {
            return mLowIdle ? LOW_IDLE_MILLIS : HIGH_IDLE_MILLIS;
        }

        private String text() {
            String timeout = mLongTimeout ? " 900000;" : " 600000;";
            StringBuilder text = new StringBuilder("header 200000;service a;");
            text.append("idle ").append(idleLimitMillis()).append(';');
            text.append("route safe SAFE ").append(mMoved ? "b" : "a").append(timeout);
            text.append("route unsafe UNSAFE a").append(timeout);
            if (!mRouteRemoved) {
                text.append("route stream STREAM b").append(timeout);
            }
            if (!mServiceRemoved) {
                text.append("service b;");
            }
            if (mKeys) {
                text.append("key secret w;");
            }
            for (int i = 0; i < mAddedRoutes; i++) {
                text.append("route added").append(i).append(" SAFE a").append(timeout);
            }
            return text.toString();
        }

        private void next() throws IOException {
            switch (mRandom.nextInt(8)) {
                case 0 -> mMoved = !mMoved;
                case 1 -> mRouteRemoved = !mRouteRemoved;
                case 2 -> mServiceRemoved = !mServiceRemoved;
                case 3 -> mLowIdle = !mLowIdle;
                case 4 -> mLongTimeout = !mLongTimeout;
                case 5 -> mKeys = !mKeys;
                case 6 -> toggleUpstream();
                default -> mAddedRoutes += 50;
            }
            mGateway.configure(text());
        }

        private void toggleUpstream() throws IOException {
            mUpstreamRemoved = !mUpstreamRemoved;
            if (mUpstreamRemoved) {
                mGateway.removeUpstream("b1");
            } else {
                mGateway.addUpstream("b1", "b", LostRequestTest.this::respond);
            }
        }
    }

    /** A caller that sends its requests on one connection as long as it may. */
    private final class Caller {
        private final RunningGateway mGateway;
        private final String mName;
        private final Random mRandom;
        private Socket mSocket;
        private ResponseReader mResponses;
        private int mNumber;

        /** The rest of a request whose first bytes were sent. */
        private String mRest = "";

        private Caller(RunningGateway gateway, String name, Random random) {
            mGateway = gateway;
            mName = name;
            mRandom = random;
        }

        private void run() {
            try {
                for (int round = 0; round < ROUNDS; round++) {
                    mBarrier.await();
                    attempt(this::sendRound);
                    mBarrier.await();
                }
                mBarrier.await();
                attempt(() -> write(mRest + request() + request()));
                mBarrier.await();
                int expected = mRest.isEmpty() ? 2 : 3;
                attempt(() -> readAnswers(expected));
            } catch (Exception e) {
                mLost.add(mName + ": " + e);
            }
        }

        private void attempt(Step step) {
            try {
                if (mSocket == null) {
                    mSocket = mGateway.connect();
                    mResponses = new ResponseReader(mSocket);
                }
                step.run();
            } catch (IOException e) {
                mLost.add(mName + " after request " + mNumber + ": " + e);
                mSocket = null;
                mRest = "";
            }
        }

        private void sendRound() throws IOException {
            for (int i = 0; i < REQUESTS_OF_A_ROUND; i++) {
                boolean pipelined = mRandom.nextInt(4) == 0;
                int expected = pipelined ? 2 : 1;
                String text = mRest.isEmpty() ? request() : mRest;
                mRest = "";
                sendInParts(pipelined ? text + request() : text);
                readAnswers(expected);
            }
            if (mRandom.nextInt(3) == 0) {
                String text = request();
                int length = 1 + mRandom.nextInt(text.indexOf("\r\n\r\n"));
                write(text.substring(0, length));
                mRest = text.substring(length);
            }
        }

        private String request() {
            mNumber++;
            mSent.incrementAndGet();
            String[] routes = {"safe", "unsafe", "stream", "added0", "nowhere"};
            String text =
                    RunningGateway.request(
                            routes[mRandom.nextInt(routes.length)],
                            mName + "/" + mNumber,
                            "x".repeat(mRandom.nextInt(3_000)));
            return mRandom.nextBoolean() ? text.replaceFirst("\r\n", "\r\nKey: secret\r\n") : text;
        }

        private void sendInParts(String text) throws IOException {
            int sent = 0;
            while (sent < text.length()) {
                int end = Math.min(text.length(), sent + 1 + mRandom.nextInt(2_000));
                write(text.substring(sent, end));
                sent = end;
            }
        }

        private void write(String text) throws IOException {
            FakeServer.write(mSocket, text);
        }

        private void readAnswers(int count) throws IOException {
            for (int i = 0; i < count; i++) {
                String response = mResponses.next();
                if (response.matches("(?s)HTTP/1.1 (200|4..|5..) .*")) {
                    mAnswered.incrementAndGet();
                } else {
                    throw new IOException("no answer but '" + response + "'");
                }
            }
        }
    }

    /** A step that reads or writes a connection. */
    private interface Step {
        void run() throws IOException;
    }
}
