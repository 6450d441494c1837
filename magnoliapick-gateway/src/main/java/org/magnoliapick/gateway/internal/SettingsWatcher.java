package org.magnoliapick.gateway.internal;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.magnoliapick.gateway.GatewaySettings;
import org.magnoliapick.gateway.SettingsException;
import org.magnoliapick.gateway.internal.log.EventLog;

/**
 * Notices when the settings file changed, with or without a signal. Settings that make no sense are
 * logged and change nothing.
 */
final class SettingsWatcher {
    private final Path mFile;
    private final EventLog mLog;
    private final Consumer<GatewaySettings> mSink;
    private GatewaySettings mSettings;
    private FileTime mReadAt;

    SettingsWatcher(
            Path file, GatewaySettings settings, EventLog log, Consumer<GatewaySettings> sink) {
        mFile = file;
        mSettings = settings;
        mLog = log;
        mSink = sink;
        mReadAt = modified();
    }

    /** Reads the file again if it changed since it was read. */
    void look() {
        FileTime modified = modified();
        if (!modified.equals(mReadAt)) {
            mReadAt = modified;
            reload("file");
        }
    }

    /** Reads the file again. */
    void reload(String reason) {
        GatewaySettings settings;
        try {
            settings = SettingsReader.read(mFile);
        } catch (SettingsException e) {
            mLog.line("settings.rejected").with("reason", reason).with("fault", e).log();
            return;
        }
        mLog.line("settings.reloaded")
                .with("reason", reason)
                .with("changed", String.join(",", changes(mSettings, settings)))
                .log();
        mSettings = settings;
        mSink.accept(settings);
    }

    private static List<String> changes(GatewaySettings before, GatewaySettings after) {
        List<String> changes = new ArrayList<>();
        if (!before.retryBudget().equals(after.retryBudget())) {
            changes.add("retries");
        }
        if (before.shareWindowMillis() != after.shareWindowMillis()) {
            changes.add("sharing (from the next start on)");
        }
        if (before.stopGraceMillis() != after.stopGraceMillis()) {
            changes.add("stop");
        }
        boolean addresses =
                !before.callerAddress().equals(after.callerAddress())
                        || !before.readinessAddress().equals(after.readinessAddress())
                        || !before.controlAddress().equals(after.controlAddress())
                        || !before.peerAddress().equals(after.peerAddress())
                        || !before.storeAddress().equals(after.storeAddress());
        if (addresses) {
            changes.add("addresses (from the next start on)");
        }
        return changes;
    }

    private FileTime modified() {
        try {
            return Files.getLastModifiedTime(mFile);
        } catch (IOException e) {
            // Between two versions of the file: looked at again at the next time.
            return mReadAt == null ? FileTime.fromMillis(0) : mReadAt;
        }
    }
}
