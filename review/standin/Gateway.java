import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway, started with the line `run` and the template of the deploy file. */
final class Gateway {
    private static final Pattern PLACE = Pattern.compile("\\{\\{([^}]*)\\}\\}");

    private final String mIp;
    private final int mHttp;
    private final int mReadiness;
    private final int mAdmin;
    private final int mPeer;
    private final Path mFolder;
    private Process mProcess;

    /** Chooses free ports on a loopback address. */
    Gateway(String ip, Path folder) throws IOException {
        mIp = ip;
        mHttp = freePort(ip);
        mReadiness = freePort(ip);
        mAdmin = freePort(ip);
        mPeer = freePort(ip);
        mFolder = folder;
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    /** Starts the process with the settings of an installation. */
    void start(String name, String storeAddress) throws IOException {
        Map<String, String> fields = new HashMap<>();
        fields.put("node", name);
        fields.put("zone", "muttrah");
        fields.put("bind_addrs.http", mIp + ":" + mHttp);
        fields.put("bind_addrs.readiness", mIp + ":" + mReadiness);
        fields.put("bind_addrs.admin", mIp + ":" + mAdmin);
        fields.put("bind_ip", mIp);
        fields.put("internal_ports.0", "" + mPeer);
        fields.put("platform.address", storeAddress);
        fields.put("policy_params.budget_ratio", "0.2");
        fields.put("policy_params.budget_slack", "56");
        fields.put("policy_params.budget_window_s", "10");
        fields.put("policy_params.quota_window_s", "4");
        fields.put("policy_params.grace_s", "8");
        fields.put("policy_params.drain_ms", "2000");
        fields.put("policy_params.config_ms", "2000");
        fields.put("limits.cpu_share", "0.75");
        fields.put("limits.cpu_cores", "1");
        String template = Files.readString(Path.of("deploy/gateway.yaml"));
        template =
                template.replaceAll(
                        "\\{\\{#seed_nodes\\}\\}.*\\{\\{/seed_nodes\\}\\}",
                        "\"" + mIp + ":" + mAdmin + "\"");
        Path settings = mFolder.resolve(name + ".yaml");
        Files.writeString(
                settings,
                PLACE.matcher(template)
                        .replaceAll(
                                place ->
                                        Matcher.quoteReplacement(
                                                fields.getOrDefault(place.group(1).trim(), ""))));
        Matcher run =
                Pattern.compile("(?m)^run = \"(.*)\"$")
                        .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("no line run in the deploy file");
        }
        List<String> command = new ArrayList<>();
        for (String word : run.group(1).split(" ")) {
            command.add(word.equals("/etc/magnoliapick/local.yaml") ? settings.toString() : word);
        }
        File log = mFolder.resolve(name + ".log").toFile();
        mProcess =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(log).start();
        // Also if this process is ended before the case is over.
        Runtime.getRuntime().addShutdownHook(new Thread(mProcess::destroyForcibly));
    }

    /** Waits until the readiness path answers 200. */
    boolean awaitReady(long millis) throws InterruptedException {
        long end = System.currentTimeMillis() + millis;
        while (System.currentTimeMillis() < end && mProcess.isAlive()) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(mIp, mReadiness), 1_000);
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write(Wire.bytes("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n"));
                Wire.Message answer = Wire.read(socket.getInputStream());
                if (answer != null && answer.status() == 200) {
                    return true;
                }
            } catch (IOException e) {
                // Not listening yet.
            }
            Thread.sleep(100);
        }
        return false;
    }

    InetSocketAddress http() {
        return new InetSocketAddress(mIp, mHttp);
    }

    Process process() {
        return mProcess;
    }

    void end() throws InterruptedException {
        if (mProcess != null) {
            mProcess.destroyForcibly().waitFor();
        }
    }
}
