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
 * Reloads the settings file when its modification time changes or when asked to. Invalid settings
 * are logged and change nothing.
 */
final class SettingsWatcher {
    private final Path mFile;
    private final EventLog mLog;
    private final Consumer<GatewaySettings> mSink;
    private GatewaySettings mSettings;
    private FileTime mLastModified;

    SettingsWatcher(
            Path file, GatewaySettings settings, EventLog log, Consumer<GatewaySettings> sink) {
        mFile = file;
        mSettings = settings;
        mLog = log;
        mSink = sink;
        mLastModified = lastModified();
    }

    /** Reloads the file if its modification time differs from that of the last check. */
    void reloadIfModified() {
        FileTime modified = lastModified();
        if (!modified.equals(mLastModified)) {
            mLastModified = modified;
            reload("file");
        }
    }

    /** Reads the file and applies its settings if they are valid. */
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
                .with("changed", String.join(",", changedSections(mSettings, settings)))
                .log();
        mSettings = settings;
        mSink.accept(settings);
    }

    private static List<String> changedSections(GatewaySettings before, GatewaySettings after) {
        List<String> changes = new ArrayList<>();
        if (!before.retryBudget().equals(after.retryBudget())) {
            changes.add("retries");
        }
        if (before.shareWindowMillis() != after.shareWindowMillis()) {
            changes.add("sharing (takes effect after a restart)");
        }
        if (before.stopGraceMillis() != after.stopGraceMillis()) {
            changes.add("stop");
        }
        if (before.admission() != after.admission()) {
            changes.add("overload");
        }
        boolean addressesChanged =
                !before.callerAddress().equals(after.callerAddress())
                        || !before.readinessAddress().equals(after.readinessAddress())
                        || !before.controlAddress().equals(after.controlAddress())
                        || !before.peerAddress().equals(after.peerAddress())
                        || !before.storeAddress().equals(after.storeAddress());
        if (addressesChanged) {
            changes.add("addresses (take effect after a restart)");
        }
        return changes;
    }

    private FileTime lastModified() {
        try {
            return Files.getLastModifiedTime(mFile);
        } catch (IOException e) {
            // The file may be missing while it is replaced; the next check reads it again.
            return mLastModified == null ? FileTime.fromMillis(0) : mLastModified;
        }
    }
}
