package org.magnoliapick.router;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hashing;
import io.dropwizard.testing.ConfigOverride;
import io.dropwizard.testing.DropwizardTestSupport;
import io.dropwizard.testing.ResourceHelpers;
import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.magnoliapick.ports.Endpoint;
import org.magnoliapick.ports.ListedMember;
import org.magnoliapick.ports.Platform;
import org.magnoliapick.ports.PlatformSettings;
import org.magnoliapick.standin.EngineOptions;
import org.magnoliapick.standin.EngineStandin;
import org.magnoliapick.standin.ListOptions;
import org.magnoliapick.standin.ListStandin;
import org.magnoliapick.standin.LogOptions;
import org.magnoliapick.standin.LogStandin;
import org.magnoliapick.standin.ServiceOptions;
import org.magnoliapick.standin.ServiceStandin;
import org.magnoliapick.standin.WeightsStandin;

/** A small fleet on loopback: stand-ins for the platform and the upstreams, and real routers. */
final class TestFleet implements AutoCloseable {
    static final String OPERATOR_KEY = "key-of-the-first-operator";
    static final String KEY = "key-of-the-school-club";

    private static final Duration PATIENCE = Duration.ofSeconds(30);
    private static final String HOST = "127.0.0.1";
    private static final long EXPIRY_MILLIS = 3_600_000;

    final EngineStandin mEngine = EngineStandin.start(new EngineOptions());
    final ServiceStandin mService =
            ServiceStandin.start(new ServiceOptions().setFlavour("draws").setLatencyMillis(1));
    final LogStandin mLog = LogStandin.start(new LogOptions());
    final ListStandin mList =
            ListStandin.start(new ListOptions().setExpiryMillis(EXPIRY_MILLIS).setLagMillis(0));
    private final WeightsStandin mWeights = WeightsStandin.start(HOST, 0, 1_000, 1_000);
    private final HttpClient mClient = HttpClient.newHttpClient();
    private final List<DropwizardTestSupport<RouterSettings>> mRouters = new ArrayList<>();

    TestFleet() {
        try (Platform platform = platform()) {
            register(platform, "engine-1", ListedMember.Role.MODEL_ENGINE, "gift-writer");
            register(platform, "draws-1", ListedMember.Role.PLAIN_SERVICE, "draws");
        }
        String workspace = "teams/kyushu/workspaces/school-club/";
        setting(workspace + "keys/k1/sha256", "\"" + sha256(KEY) + "\"");
        setting("fleet/targets/gift-writer/kind", "\"model\"");
        setting("fleet/targets/draws/kind", "\"service\"");
    }

    private static String sha256(String key) {
        return Hashing.sha256().hashString(key, UTF_8).toString();
    }

    void setting(String path, String jsonValue) {
        String entry =
                String.format(
                        "{\"id\":\"%s\",\"author\":\"test\",\"reason\":\"test\","
                                + "\"expect\":{},\"set\":{\"%s\":%s},\"unset\":[]}",
                        path, path, jsonValue);
        mLog.append("config", entry.getBytes(UTF_8));
    }

    /** Starts a router and waits until it is ready; returns its base address. */
    String startRouter(String name) throws Exception {
        DropwizardTestSupport<RouterSettings> router =
                new DropwizardTestSupport<>(
                        RouterApplication.class,
                        ResourceHelpers.resourceFilePath("router.yaml"),
                        ConfigOverride.config("instance.name", name),
                        ConfigOverride.config("admin.bootstrapKeySha256", sha256(OPERATOR_KEY)),
                        ConfigOverride.config("platform.log", HOST + ":" + mLog.port()),
                        ConfigOverride.config("platform.instanceList", HOST + ":" + mList.port()),
                        ConfigOverride.config(
                                "platform.weightStore", HOST + ":" + mWeights.port()));
        router.before();
        mRouters.add(router);
        String address = "http://" + HOST + ":" + router.getLocalPort();
        awaitServing(address);
        return address;
    }

    /** Waits until a router is ready and knows the upstreams. */
    private void awaitServing(String address) throws Exception {
        long endNanos = System.nanoTime() + PATIENCE.toNanos();
        while (System.nanoTime() < endNanos) {
            if (get(address + "/health/ready").statusCode() == 200
                    && get(address + "/services/draws/probe").statusCode() == 200) {
                return;
            }
        }
        throw new IllegalStateException("The router at " + address + " does not serve");
    }

    HttpResponse<String> get(String url) throws Exception {
        return send(request(url).GET());
    }

    HttpResponse<String> operate(String method, String url, String body) throws Exception {
        return send(
                request(url)
                        .setHeader("Authorization", "Bearer " + OPERATOR_KEY)
                        .setHeader("Content-Type", "application/json")
                        .method(method, HttpRequest.BodyPublishers.ofString(body, UTF_8)));
    }

    HttpResponse<String> post(String url, String body, String... headers) throws Exception {
        HttpRequest.Builder request =
                request(url).POST(HttpRequest.BodyPublishers.ofString(body, UTF_8));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return send(request);
    }

    /** Reads the first bytes of a stream and closes its connection. */
    void leaveStream(String url, String body) throws Exception {
        HttpRequest request =
                request(url).POST(HttpRequest.BodyPublishers.ofString(body, UTF_8)).build();
        HttpResponse<InputStream> answer =
                mClient.send(request, HttpResponse.BodyHandlers.ofInputStream());
        try (InputStream stream = answer.body()) {
            stream.readNBytes(16);
        }
    }

    /** Waits until the engine runs nothing; calls of the router pace the loop. */
    int awaitIdleEngine(String router) throws Exception {
        long endNanos = System.nanoTime() + PATIENCE.toNanos();
        while (mEngine.running() > 0 && System.nanoTime() < endNanos) {
            get(router + "/health/live");
        }
        return mEngine.running();
    }

    private static HttpRequest.Builder request(String url) {
        return HttpRequest.newBuilder(URI.create(url))
                .timeout(PATIENCE)
                .setHeader("Authorization", "Bearer " + KEY);
    }

    HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return mClient.send(request.build(), HttpResponse.BodyHandlers.ofString(UTF_8));
    }

    private Platform platform() {
        return Platform.http(
                PlatformSettings.of(
                        new Endpoint(HOST, mLog.port()),
                        new Endpoint(HOST, mList.port()),
                        new Endpoint(HOST, mWeights.port())),
                System::currentTimeMillis);
    }

    private void register(Platform platform, String name, ListedMember.Role role, String target) {
        int port = role == ListedMember.Role.MODEL_ENGINE ? mEngine.port() : mService.port();
        ListedMember member =
                new ListedMember(name, role, "fukuoka-a", HOST, port, 0, Set.of(target), false);
        if (!platform.instanceList().register(member, PATIENCE)) {
            throw new IllegalStateException("The list did not take " + name);
        }
    }

    @Override
    public void close() {
        // Each router puts back the overrides that it found, so the last one goes first.
        for (int i = mRouters.size() - 1; i >= 0; i--) {
            mRouters.get(i).after();
        }
        mEngine.close();
        mService.close();
        mLog.close();
        mList.close();
        mWeights.close();
    }
}
