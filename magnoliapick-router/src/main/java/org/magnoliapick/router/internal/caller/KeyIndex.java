package org.magnoliapick.router.internal.caller;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.config.WorkspaceConfig;

/**
 * Finds the workspace that a key names. Keys are known by their SHA-256 hashes only, and a look-up
 * goes by the hash, so its time tells nothing about a key.
 */
@Singleton
public final class KeyIndex {
    private static final String SCHEME = "Bearer ";

    private volatile Map<String, WorkspaceConfig> mWorkspaces = Map.of();

    @Inject
    KeyIndex() {}

    /** Takes the keys of a configuration. */
    public void configChanged(FleetConfig config) {
        Map<String, WorkspaceConfig> workspaces = new HashMap<>();
        for (WorkspaceConfig workspace : config.workspaces().values()) {
            for (String hash : workspace.keyHashes()) {
                workspaces.put(hash, workspace);
            }
        }
        mWorkspaces = workspaces;
    }

    /** Finds the workspace of an {@code Authorization} header. */
    public Optional<WorkspaceConfig> find(String authorization) {
        if (authorization == null || !authorization.startsWith(SCHEME)) {
            return Optional.empty();
        }
        String key = authorization.substring(SCHEME.length()).trim();
        return Optional.ofNullable(mWorkspaces.get(sha256Hex(key)));
    }

    static String sha256Hex(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("This Java runtime has no SHA-256", e);
        }
    }
}
