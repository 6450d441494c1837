package org.magnoliapick.load;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.io.entity.EntityUtils;

/** Measures in one run what an entry instance adds to plain calls of a stand-in. */
public final class PathBench {
    private static final int ROUNDS = 10;
    private static final int WARM_UP_CALLS = 3_000;
    private static final int CALLS_PER_ROUND = 500;
    private static final int CALLERS = 32;
    private static final int THROUGHPUT_SECONDS = 5;
    private static final long MAX_MICROS = 60_000_000;
    private static final int DIGITS = 3;
    private static final String PATH = "/services/draws/pairings?nonce=bench";
    private static final double MICROS_PER_MILLI = 1_000.0;

    private final CloseableHttpClient mClient;
    private final String mKey;

    private PathBench(String key) {
        mKey = key;
        mClient =
                HttpClients.custom()
                        .setConnectionManager(
                                PoolingHttpClientConnectionManagerBuilder.create()
                                        .setMaxConnPerRoute(CALLERS)
                                        .setMaxConnTotal(2 * CALLERS)
                                        .build())
                        .disableAutomaticRetries()
                        .build();
    }

    /** Takes the stand-in's address, the entry instance's address and a bearer key. */
    public static void main(String[] arguments) throws Exception {
        if (arguments.length != 3) {
            System.err.println("usage: path-bench STANDIN-IP:PORT ROUTER-IP:PORT KEY");
            System.exit(LoadMain.EXIT_USAGE);
        }
        HttpHost standin = Address.parse(arguments[0]);
        HttpHost router = Address.parse(arguments[1]);
        new PathBench(arguments[2]).run(standin, router);
    }

    private void run(HttpHost standin, HttpHost router) throws Exception {
        Histogram direct = new Histogram(MAX_MICROS, DIGITS);
        Histogram routed = new Histogram(MAX_MICROS, DIGITS);
        measure(standin, WARM_UP_CALLS, new Histogram(MAX_MICROS, DIGITS));
        measure(router, WARM_UP_CALLS, new Histogram(MAX_MICROS, DIGITS));
        // Rounds alternate, so that a change of the machine's load meets both alike.
        for (int round = 0; round < ROUNDS; round++) {
            measure(standin, CALLS_PER_ROUND, direct);
            measure(router, CALLS_PER_ROUND, routed);
        }
        double directRate = throughput(standin);
        double routedRate = throughput(router);
        System.out.println("one caller, latency in ms:");
        printLatency("direct", direct);
        printLatency("routed", routed);
        System.out.printf(
                "  added    p50 %.3f  p99 %.3f%n",
                millis(routed, 50) - millis(direct, 50), millis(routed, 99) - millis(direct, 99));
        System.out.printf(
                "%d callers, calls a second: direct %.0f, routed %.0f, ratio %.2f%n",
                CALLERS, directRate, routedRate, routedRate / directRate);
    }

    private static void printLatency(String name, Histogram micros) {
        System.out.printf(
                "  %-8s p50 %.3f  p99 %.3f  (%d calls)%n",
                name, millis(micros, 50), millis(micros, 99), micros.getTotalCount());
    }

    private static double millis(Histogram micros, double percentile) {
        return micros.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    private void measure(HttpHost host, int calls, Histogram micros) throws IOException {
        for (int i = 0; i < calls; i++) {
            long startNanos = System.nanoTime();
            call(host);
            micros.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos));
        }
    }

    private void call(HttpHost host) throws IOException {
        HttpGet request = new HttpGet(PATH);
        request.setHeader("Authorization", "Bearer " + mKey);
        mClient.execute(
                host,
                request,
                response -> {
                    byte[] body = EntityUtils.toByteArray(response.getEntity());
                    if (response.getCode() != 200) {
                        throw new IOException(
                                "Status " + response.getCode() + new String(body, UTF_8));
                    }
                    return body.length;
                });
    }

    private double throughput(HttpHost host) throws InterruptedException {
        AtomicLong done = new AtomicLong();
        AtomicLong failed = new AtomicLong();
        long startNanos = System.nanoTime();
        long endNanos = startNanos + TimeUnit.SECONDS.toNanos(THROUGHPUT_SECONDS);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Thread caller = new Thread(() -> callUntil(host, endNanos, done, failed));
            callers.add(caller);
            caller.start();
        }
        for (Thread caller : callers) {
            caller.join();
        }
        if (failed.get() > 0) {
            System.out.println("failed calls: " + failed.get());
        }
        return done.get() * 1e9 / (System.nanoTime() - startNanos);
    }

    private void callUntil(HttpHost host, long endNanos, AtomicLong done, AtomicLong failed) {
        while (System.nanoTime() < endNanos) {
            try {
                call(host);
                done.incrementAndGet();
            } catch (IOException e) {
                failed.incrementAndGet();
            }
        }
    }
}
