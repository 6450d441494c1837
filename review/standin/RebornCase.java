import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Model workers go dark, one at a time, and start again under the ids that they had. */
final class RebornCase {
    private static final String[] KEYS = {"asnmgkcuyj8pjbvk9m68", "k7b2ex5wa5xwyhks8nbk"};
    private static final int WORKERS = 4;
    private static final long DARK_MILLIS = 1_200;
    private static final long FIRST_MILLIS = 4_000;
    private static final long EACH_MILLIS = 3_000;

    /** How often each of the workers goes dark. */
    private static final int ROUNDS = 2;

    private static final long CALM_MILLIS = FIRST_MILLIS + ROUNDS * WORKERS * EACH_MILLIS + 4_000;
    private static final long LENGTH_MILLIS = CALM_MILLIS + 13_000;
    private static final int PROMPT_TOKENS = 12_000;
    private static final int PER_SECOND = 14;

    /** The aim of the route: slo_ms. */
    private static final long AIM_MILLIS = 800;

    /** FAIR: calm seconds in a row, and how many of the largest requests are left out. */
    private static final int WINDOW_SECONDS = 6;

    private static final int LEFT_OUT = 3;

    /** A tenant's requests by second of the calm part. */
    private static final class Tenant {
        private final int[] mAsked = new int[64];
        private final int[] mPastAim = new int[64];
        private int mAll;
        private int mServed;
    }

    private static final Tenant[] sTenants = {new Tenant(), new Tenant()};
    private static int sNext;

    private RebornCase() {}

    static int run(boolean trouble, Path folder) throws Exception {
        Store store = new Store();
        store.put("keyed.op", "config", manifest());
        List<EngineWorker> engines = workers(store, 1, "model");
        List<EngineWorker> others = workers(store, WORKERS + 1, "model-b");
        Gateway gateway = new Gateway("127.0.0.1", folder);
        try {
            gateway.start("edge-muttrah-1", store.address());
            if (!gateway.awaitReady(20_000)) {
                Record.line("the gateway did not become ready");
                return 2;
            }
            long start = Record.millis();
            for (int i = 0; i < PER_SECOND; i++) {
                paced(gateway, start, i * 1_000 / PER_SECOND, 0);
                paced(gateway, start, i * 1_000 / PER_SECOND + 50, 1);
            }
            for (int i = 0; i < ROUNDS * WORKERS; i++) {
                sleepUntil(start + FIRST_MILLIS + i * EACH_MILLIS);
                if (trouble) {
                    crash(store, engines.get(i % WORKERS));
                }
            }
            sleepUntil(start + LENGTH_MILLIS + 1_500);
            return judge(start + CALM_MILLIS, engines, others);
        } finally {
            gateway.end();
        }
    }

    private static List<EngineWorker> workers(Store store, int first, String service)
            throws IOException {
        List<EngineWorker> workers = new ArrayList<>();
        for (int i = first; i < first + WORKERS; i++) {
            EngineWorker worker = new EngineWorker("i-" + i, service);
            workers.add(worker);
            store.put("keyed.servers", worker.id(), worker.entry(1));
        }
        return workers;
    }

    private static void crash(Store store, EngineWorker engine) throws Exception {
        Record.line("worker   " + engine.id() + " goes dark");
        engine.goDark();
        Thread.sleep(DARK_MILLIS);
        engine.startAgain();
        store.put("keyed.servers", engine.id(), engine.entry(1));
        Record.line("worker   " + engine.id() + " has started again under its id");
    }

    private static int judge(long calm, List<EngineWorker> engines, List<EngineWorker> others) {
        int seconds = (int) ((LENGTH_MILLIS - CALM_MILLIS) / 1_000);
        int[][] begun = {begun(engines, calm, seconds), begun(others, calm, seconds)};
        boolean broken = false;
        for (int second = 0; second < seconds; second++) {
            Record.line(
                    "calm second " + second + ": tenant a asked " + asked(0, second) + ", begun "
                            + begun[0][second] + ", refused or past the aim "
                            + sTenants[0].mPastAim[second] + "; tenant b asked " + asked(1, second)
                            + ", begun " + begun[1][second] + " (tokens)");
        }
        for (int from = 0; from + WINDOW_SECONDS <= seconds; from++) {
            boolean each = true;
            double missed = 0;
            for (int second = from; second < from + WINDOW_SECONDS; second++) {
                each &= sTenants[0].mPastAim[second] > 0;
                missed +=
                        0.5 * Math.min(asked(0, second), begun[1][second]) - begun[0][second];
            }
            broken |= each && missed > LEFT_OUT * PROMPT_TOKENS;
        }
        for (int i = 0; i < 2; i++) {
            Record.line(
                    "tenant " + "ab".charAt(i) + ": " + sTenants[i].mServed + " of "
                            + sTenants[i].mAll + " requests served in all");
        }
        return sTenants[1].mServed < sTenants[1].mAll / 2 ? 2 : broken ? 1 : 0;
    }

    private static int asked(int tenant, int second) {
        return sTenants[tenant].mAsked[second] * PROMPT_TOKENS;
    }

    private static int[] begun(List<EngineWorker> engines, long calm, int seconds) {
        int[] tokens = new int[seconds];
        for (EngineWorker engine : engines) {
            for (long at : engine.runMillis) {
                int second = (int) Math.floorDiv(at - calm, 1_000L);
                if (second >= 0 && second < seconds) {
                    tokens[second] += PROMPT_TOKENS;
                }
            }
        }
        return tokens;
    }

    /** Sends a request of a tenant each second, on a channel of its own. */
    private static void paced(Gateway gateway, long start, long first, int tenant) {
        Record.daemon(
                "client",
                () -> {
                    for (long at = first; at < LENGTH_MILLIS; at += 1_000) {
                        sleepUntil(start + at);
                        long calmAt = at - CALM_MILLIS;
                        Record.daemon("request", () -> once(gateway, calmAt, tenant));
                    }
                });
    }

    private static void once(Gateway gateway, long calmAt, int tenant) {
        String id = nextId();
        long sent = Record.millis();
        Record.line("sent     " + id + " tenant " + "ab".charAt(tenant));
        boolean served = false;
        long firstMillis = Long.MAX_VALUE;
        String seen = "closed";
        try (Client client = new Client(gateway.http())) {
            client.sendStream(
                    id, tenant == 0 ? "/menu/2f" : "/tag/2f", KEYS[tenant], PROMPT_TOKENS, 300);
            Wire.Message head = client.head();
            if (head != null) {
                seen = head.first();
                firstMillis = head.status() == 200 ? Record.millis() - sent : Long.MAX_VALUE;
                served = head.status() == 200 && client.restOfStream();
            }
        } catch (IOException e) {
            seen = e.toString();
        }
        Record.line("answered " + id + " " + seen + (served ? ", whole" : ", not served"));
        synchronized (sTenants) {
            sTenants[tenant].mAll++;
            sTenants[tenant].mServed += served ? 1 : 0;
            if (calmAt >= 0) {
                int second = (int) (calmAt / 1_000);
                sTenants[tenant].mAsked[second]++;
                sTenants[tenant].mPastAim[second] += firstMillis > AIM_MILLIS ? 1 : 0;
            }
        }
    }

    private static synchronized String nextId() {
        return String.format("%016x", 0x4eb0L << 32 | ++sNext);
    }

    private static void sleepUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - Record.millis()));
    }

    private static String route(String name, String service) {
        return "{\"name\":\"r-" + name + "\",\"host\":\"desk.example\",\"path_prefix\":\"/" + name
                + "/\",\"kind\":\"streaming\",\"timeout_ms\":15000,\"slo_ms\":" + AIM_MILLIS
                + ",\"gap_slo_ms\":300,\"priority\":1,\"service\":\"" + service
                + "\",\"max_attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true}";
    }

    private static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_conns\":370,"
                + "\"protocol\":\"h1\",\"tls\":false,\"runtime\":{\"max_slots\":64,"
                + "\"kv_capacity\":510209,\"kv_token_bytes\":18432,\"link_mbps\":130000.0,"
                + "\"stride\":5,\"models\":[{\"name\":\"m\"}]}}";
    }

    private static String tenant(String name, String key) {
        return "{\"name\":\"" + name + "\",\"api_keys\":[\"" + key + "\"],\"priority\":1}";
    }

    private static String manifest() {
        return "{\"version\":7,\"routes\":[" + route("menu", "model") + ","
                + route("tag", "model-b") + "],\"services\":[" + service("model") + ","
                + service("model-b") + "],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000,\"tokens_per_s\":266000},\"tenants\":["
                + tenant("a", KEYS[0]) + "," + tenant("b", KEYS[1]) + "]}";
    }
}
