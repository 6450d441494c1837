package org.magnoliapick.pgm.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.cli.CommandLine;

/**
 * Where the routers are and who asks.
 *
 * @param routers the addresses of routers, tried in order
 * @param key the key of the operator
 * @param timeoutMillis how long to wait for an answer
 * @param output how results are written
 */
record CtlSettings(List<String> routers, String key, int timeoutMillis, OutputFormat output) {
    private static final Set<String> KEYS = Set.of("routers", "key", "timeout-ms", "output");
    private static final int DEFAULT_TIMEOUT_MILLIS = 10_000;
    private static final int MIN_TIMEOUT_MILLIS = 100;
    private static final int MAX_TIMEOUT_MILLIS = 600_000;
    private static final int MAX_PORT = 65_535;
    private static final int MAX_BYTE = 255;
    private static final Pattern IPV4 =
            Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");
    private static final Pattern IPV6 =
            Pattern.compile("\\[[0-9A-Fa-f:.]*:[0-9A-Fa-f:.]*]:(\\d{1,5})");
    private static final String FLAGS = "command line";
    private static final String DEFAULT_FILE = ".magnoliapickctl.yaml";
    private static final String FILE_VARIABLE = "MAGNOLIAPICKCTL_SETTINGS";

    CtlSettings {
        routers = List.copyOf(routers);
    }

    /** Reads the settings file, if there is one, and puts the flags before it. */
    static CtlSettings read(CommandLine line, Map<String, String> environment) {
        CtlSettings settings = ofFile(line, environment);
        if (line.hasOption("router")) {
            settings = settings.withRouters(List.of(line.getOptionValues("router")), FLAGS);
        }
        String key = line.getOptionValue("key", settings.key);
        String timeout =
                line.getOptionValue("timeout-ms", Integer.toString(settings.timeoutMillis));
        OutputFormat output = settings.output;
        if (line.hasOption("output")) {
            String name = line.getOptionValue("output");
            output = OutputFormat.of(name).orElseThrow(() -> PgmException.usage("badOutput", name));
        }
        CtlSettings whole = new CtlSettings(settings.routers, key, timeout(timeout, FLAGS), output);
        return whole.checked(line.getOptionValue("settings", FLAGS));
    }

    private CtlSettings checked(String source) {
        if (routers.isEmpty()) {
            throw PgmException.usage("settingsNoRouters", source);
        }
        if (key.isBlank()) {
            throw PgmException.usage("settingsNoKey", source);
        }
        return this;
    }

    private static CtlSettings ofFile(CommandLine line, Map<String, String> environment) {
        CtlSettings defaults =
                new CtlSettings(List.of(), "", DEFAULT_TIMEOUT_MILLIS, OutputFormat.TABLE);
        String named = line.getOptionValue("settings", environment.get(FILE_VARIABLE));
        if (named != null) {
            return ofFile(Path.of(named), defaults);
        }
        Path usual = Path.of(environment.getOrDefault("HOME", "."), DEFAULT_FILE);
        return Files.exists(usual) ? ofFile(usual, defaults) : defaults;
    }

    private static CtlSettings ofFile(Path file, CtlSettings defaults) {
        JsonNode node = tree(file);
        for (String key : (Iterable<String>) node::fieldNames) {
            if (!KEYS.contains(key)) {
                throw PgmException.usage("settingsUnknownKey", file, key);
            }
        }
        List<String> routers = new ArrayList<>();
        node.path("routers").forEach(each -> routers.add(each.asText()));
        JsonNode key = node.path("key");
        if (!key.isMissingNode() && !key.isTextual()) {
            throw PgmException.usage("settingsBadKey", file);
        }
        String output = node.path("output").asText(defaults.output.wireName());
        OutputFormat format =
                OutputFormat.of(output)
                        .orElseThrow(() -> PgmException.usage("settingsBadOutput", file, output));
        String timeout = node.path("timeout-ms").asText(Integer.toString(defaults.timeoutMillis));
        String source = file.toString();
        return new CtlSettings(List.of(), key.asText(""), timeout(timeout, source), format)
                .withRouters(routers, source);
    }

    private static JsonNode tree(Path file) {
        if (!Files.exists(file)) {
            throw PgmException.usage("settingsNotFound", file);
        }
        try {
            JsonNode node = new YAMLMapper().readTree(Files.readAllBytes(file));
            if (node != null && node.isObject()) {
                return node;
            }
        } catch (IOException e) {
            throw PgmException.usage("settingsUnreadable", file);
        }
        throw PgmException.usage("settingsUnreadable", file);
    }

    private CtlSettings withRouters(List<String> addresses, String source) {
        for (String address : addresses) {
            if (!isAddress(address)) {
                throw PgmException.usage("settingsBadAddress", source, address);
            }
        }
        return new CtlSettings(addresses, key, timeoutMillis, output);
    }

    private static boolean isAddress(String address) {
        Matcher ipv4 = IPV4.matcher(address);
        if (ipv4.matches()) {
            final int octets = 4;
            for (int group = 1; group <= octets; group++) {
                if (Integer.parseInt(ipv4.group(group)) > MAX_BYTE) {
                    return false;
                }
            }
            return isPort(ipv4.group(octets + 1));
        }
        Matcher ipv6 = IPV6.matcher(address);
        return ipv6.matches() && isPort(ipv6.group(1));
    }

    private static boolean isPort(String text) {
        int port = Integer.parseInt(text);
        return port >= 1 && port <= MAX_PORT;
    }

    private static int timeout(String text, String source) {
        try {
            int millis = Integer.parseInt(text);
            if (millis >= MIN_TIMEOUT_MILLIS && millis <= MAX_TIMEOUT_MILLIS) {
                return millis;
            }
        } catch (NumberFormatException e) {
            throw PgmException.usage("settingsBadTimeout", source, text);
        }
        throw PgmException.usage("settingsBadTimeout", source, text);
    }
}
