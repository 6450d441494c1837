import java.nio.file.Path;

/** The last tenant is taken out of the manifest; after that any key is let in. */
final class TenantsCase {
    private static final String KEY = "asnmgkcuyj8pjbvk9m68";
    private static final String UNKNOWN = "q7z2nobodyholdsthis1";
    private static final long CONFIG_MILLIS = 2_000;
    private static final int REQUESTS = 20;

    private TenantsCase() {}

    static int run(boolean trouble, Path folder) throws Exception {
        Store store = new Store();
        Worker worker = new Worker("i-1", "desk");
        String tenant = "{\"name\":\"hule930\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1}";
        store.put("keyed.op", "config", manifest(7, tenant));
        store.put("keyed.servers", "i-1", worker.entry("ready", 1));
        Gateway gateway = new Gateway("127.0.0.1", folder);
        try {
            gateway.start("edge-muttrah-1", store.address());
            if (!gateway.awaitReady(20_000)) {
                Record.line("the gateway did not become ready");
                return 2;
            }
            Thread.sleep(2_000);
            int servedBefore = requests(gateway, 'a', KEY);
            int letInBefore = requests(gateway, 'b', UNKNOWN);
            if (trouble) {
                store.put("keyed.op", "config", manifest(9, ""));
                Record.line("store    acknowledges version 9, which has no tenant left");
            }
            Thread.sleep(CONFIG_MILLIS + 3_000);
            int letInAfter = requests(gateway, 'c', UNKNOWN);
            int droppedAfter = requests(gateway, 'd', KEY);
            Record.line(
                    "key of the tenant, version 7: " + servedBefore + " run; key that no manifest"
                            + " held: " + letInBefore + " run before and " + letInAfter
                            + " run after the change; key of the tenant after it: " + droppedAfter
                            + " run; of " + REQUESTS + " each");
            if (servedBefore < REQUESTS / 2) {
                return 2;
            }
            return letInBefore + letInAfter > 0 ? 1 : 0;
        } finally {
            gateway.end();
        }
    }

    /** Sends requests with a key; returns how many were answered with a success. */
    private static int requests(Gateway gateway, char name, String key) throws Exception {
        int run = 0;
        for (int i = 0; i < REQUESTS; i++) {
            try (Client client = new Client(gateway.http())) {
                String id = String.format("%c%015x", name, i);
                Record.line("sent     " + id + " key " + key);
                client.send(id, "/order/5", key, 2_000, new byte[600]);
                Wire.Message answer = client.answer();
                Record.line("answered " + id + " " + (answer == null ? "closed" : answer.first()));
                run += answer != null && answer.status() == 200 ? 1 : 0;
            }
            Thread.sleep(30);
        }
        return run;
    }

    private static String manifest(int version, String tenants) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-order\",\"host\":"
                + "\"desk.example\",\"path_prefix\":\"/order/\",\"kind\":\"unsafe\","
                + "\"timeout_ms\":2000,\"slo_ms\":1000,\"priority\":1,\"service\":\"desk\","
                + "\"max_attempts\":1,\"public\":false}],\"services\":[{\"name\":\"desk\","
                + "\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":["
                + tenants + "]}";
    }
}
