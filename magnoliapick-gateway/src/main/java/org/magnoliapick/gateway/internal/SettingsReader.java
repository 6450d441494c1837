package org.magnoliapick.gateway.internal;

import java.io.IOException;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.magnoliapick.gateway.AddressPort;
import org.magnoliapick.gateway.GatewaySettings;
import org.magnoliapick.gateway.SettingsException;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.limit.ColdBounds;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.constructor.SafeConstructor;
import org.yaml.snakeyaml.error.YAMLException;

/** Reads and validates the YAML settings of a gateway. */
public final class SettingsReader {
    /** Milliseconds in a second, and thousandths of a core in a core. */
    private static final int MILLI_PER_UNIT = 1_000;

    /** The default for the propagation bounds, in milliseconds. */
    private static final double DEFAULT_BOUND_MILLIS = 2_000;

    /** The default for the propagation bound of evacuations, in milliseconds. */
    private static final double DEFAULT_EVACUATION_MILLIS = 5_000;

    /** The name in a deployment's list of policies that asks for prompt classes. */
    private static final String PROMPT_CLASSES_POLICY = "pressure";

    private final Map<?, ?> mRoot;
    private final TreeSet<String> mUnreadKeys = new TreeSet<>();

    private SettingsReader(Map<?, ?> root) {
        mRoot = root;
        collectKeys("", root);
    }

    /**
     * Reads a settings file.
     *
     * @throws SettingsException if the file cannot be read, or a key is missing, unknown or invalid
     */
    public static GatewaySettings read(Path file) throws SettingsException {
        Object root;
        try (Reader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
            root = new Yaml(new SafeConstructor(new LoaderOptions())).load(reader);
        } catch (IOException e) {
            throw new SettingsException(file + ": cannot be read: " + e.getMessage());
        } catch (YAMLException e) {
            throw new SettingsException(file + ": is not YAML: " + e.getMessage());
        }
        if (!(root instanceof Map<?, ?> map)) {
            throw new SettingsException(file + ": expected a mapping of keys to values");
        }
        try {
            return new SettingsReader(map).settings();
        } catch (IllegalArgumentException e) {
            throw new SettingsException(file + ": " + e.getMessage());
        }
    }

    private GatewaySettings settings() {
        GatewaySettings settings =
                new GatewaySettings(
                        new InstanceId(text("instance")),
                        new FailureDomain(text("domain")),
                        address("callers.address"),
                        address("readiness.address"),
                        text("readiness.path"),
                        address("control.address"),
                        address("peers.address"),
                        addresses("peers.seeds"),
                        address("store.address"),
                        new GatewaySettings.RetryBudget(
                                nonNegative("retries.ratio"),
                                nonNegative("retries.slack"),
                                windowMillis("retries.windowSeconds")),
                        windowMillis("sharing.windowSeconds"),
                        secondsAsMillis("stop.graceSeconds"),
                        (int)
                                Math.round(
                                        MILLI_PER_UNIT
                                                * nonNegative("machine.processorShare", 1)
                                                * nonNegative("machine.processorSpeed", 1)),
                        promptClasses(),
                        new GatewaySettings.Bounds(
                                (long) nonNegative("bounds.leavingMillis", DEFAULT_BOUND_MILLIS),
                                (long) nonNegative("bounds.configMillis", DEFAULT_BOUND_MILLIS),
                                (long)
                                        nonNegative(
                                                "bounds.evacuationMillis",
                                                DEFAULT_EVACUATION_MILLIS),
                                new ColdBounds(
                                        nonNegative(
                                                "bounds.coldOverage", ColdBounds.NONE.overage()),
                                        nonNegative("bounds.coldSlack", ColdBounds.NONE.slack()))),
                        flag("overload.admission", find("machine.processorShare") != null),
                        (long) nonNegative("machine.maxDescriptors", 0));
        if (!mUnreadKeys.isEmpty()) {
            throw new IllegalArgumentException("unknown key " + mUnreadKeys.first());
        }
        return settings;
    }

    private void collectKeys(String prefix, Map<?, ?> map) {
        map.forEach(
                (key, value) -> {
                    String path = prefix + key;
                    if (value instanceof Map<?, ?> inner) {
                        collectKeys(path + '.', inner);
                    } else {
                        mUnreadKeys.add(path);
                    }
                });
    }

    private Object find(String path) {
        Object value = mRoot;
        for (String key : path.split("\\.")) {
            value = value instanceof Map<?, ?> map ? map.get(key) : null;
        }
        mUnreadKeys.remove(path);
        return value;
    }

    private Object value(String path) {
        Object value = find(path);
        if (value == null) {
            throw new IllegalArgumentException(path + " is missing");
        }
        return value;
    }

    private String text(String path) {
        return value(path).toString();
    }

    /** Returns whether the setting is on by itself or listed among the deployment's policies. */
    private boolean promptClasses() {
        boolean enabled = flag("placement.promptClasses");
        return strings("placement.policies").contains(PROMPT_CLASSES_POLICY) || enabled;
    }

    /** Reads a setting that is off if the key is missing or has no value. */
    private boolean flag(String path) {
        Object value = find(path);
        if (value == null || value instanceof Boolean) {
            return Boolean.TRUE.equals(value);
        }
        throw new IllegalArgumentException(path + ": expected true or false");
    }

    /** Reads a list of strings that is empty if the key is missing or has no value. */
    private List<String> strings(String path) {
        Object value = find(path);
        if (value == null) {
            return List.of();
        }
        if (value instanceof List<?> items) {
            return items.stream().map(String::valueOf).toList();
        }
        throw new IllegalArgumentException(path + ": expected a list");
    }

    private double nonNegative(String path) {
        Object value = value(path);
        if (value instanceof Number number
                && number.doubleValue() >= 0
                && Double.isFinite(number.doubleValue())) {
            return number.doubleValue();
        }
        throw new IllegalArgumentException(path + ": expected a number of 0 or more");
    }

    /** Returns a number, or the default if the key is missing or has no value. */
    private double nonNegative(String path, double defaultValue) {
        return find(path) == null ? defaultValue : nonNegative(path);
    }

    /** Returns a flag, or the default if the key is missing or has no value. */
    private boolean flag(String path, boolean defaultValue) {
        Object value = find(path);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        throw new IllegalArgumentException(path + ": expected true or false");
    }

    private long secondsAsMillis(String path) {
        return Math.round(nonNegative(path) * MILLI_PER_UNIT);
    }

    /** Reads the length of a window, which limits nothing if it is 0. */
    private long windowMillis(String path) {
        long millis = secondsAsMillis(path);
        if (millis == 0) {
            throw new IllegalArgumentException(path + ": expected at least a millisecond");
        }
        return millis;
    }

    private AddressPort address(String path) {
        return parseAddress(path, value(path));
    }

    private List<AddressPort> addresses(String path) {
        if (!(value(path) instanceof List<?> items)) {
            throw new IllegalArgumentException(path + ": expected a list");
        }
        List<AddressPort> addresses = new ArrayList<>();
        items.forEach(each -> addresses.add(parseAddress(path, each)));
        return addresses;
    }

    private static AddressPort parseAddress(String path, Object value) {
        try {
            return AddressPort.parse(value.toString());
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(path + ": " + e.getMessage(), e);
        }
    }
}
