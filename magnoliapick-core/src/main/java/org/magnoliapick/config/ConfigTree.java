package org.magnoliapick.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The current settings by path, with a version for each setting and for each path that has settings
 * below it. Changes can be rolled back.
 */
final class ConfigTree {
    private static final int WORKSPACE_SEGMENT = 3;

    private final TreeMap<String, Setting> mSettings = new TreeMap<>();
    private final TreeMap<String, Long> mInnerVersions = new TreeMap<>();
    private final Map<String, String> mTeamByWorkspace = new HashMap<>();
    private final Map<String, String> mPathByKeyHash = new HashMap<>();

    private final List<Runnable> mUndoActions = new ArrayList<>();

    /** Starts recording changes for {@link #rollback}. */
    void begin() {
        mUndoActions.clear();
    }

    /** Reverts all changes since the last {@link #begin}. */
    void rollback() {
        for (int i = mUndoActions.size() - 1; i >= 0; i--) {
            mUndoActions.get(i).run();
        }
        mUndoActions.clear();
    }

    /** Returns the settings at and below a path; the empty path selects the whole tree. */
    SortedMap<String, Setting> subtree(String path) {
        TreeMap<String, Setting> found = new TreeMap<>();
        if (path.isEmpty()) {
            found.putAll(mSettings);
            return found;
        }
        Setting own = mSettings.get(path);
        if (own != null) {
            found.put(path, own);
        }
        found.putAll(below(mSettings, path));
        return found;
    }

    /** Returns the log offset that last changed a path or anything below it; -1 if absent. */
    long version(String path) {
        Setting own = mSettings.get(path);
        return own != null ? own.version() : mInnerVersions.getOrDefault(path, -1L);
    }

    SortedMap<String, Setting> settings() {
        return mSettings;
    }

    SortedMap<String, Long> innerVersions() {
        return mInnerVersions;
    }

    /** Returns the team of a workspace; empty if the workspace has no settings. */
    Optional<String> teamOf(String workspace) {
        return Optional.ofNullable(mTeamByWorkspace.get(workspace));
    }

    /** Removes the settings at and below a path and returns the removed paths. */
    List<String> remove(String path, long offset) {
        List<String> removed = new ArrayList<>(subtree(path).keySet());
        for (String each : removed) {
            removeSetting(each, offset);
        }
        return removed;
    }

    /**
     * Sets a value, or returns a fault and sets nothing if the workspace name or key hash is
     * already used elsewhere in the tree.
     */
    Optional<EntryFault> put(String path, JsonNode value, long offset) {
        Optional<EntryFault> fault = uniquenessFault(path, value);
        if (fault.isPresent()) {
            return fault;
        }
        Setting before = mSettings.get(path);
        if (before != null && isKeyHash(path)) {
            store(mPathByKeyHash, before.value().textValue(), null);
        }
        store(mSettings, path, new Setting(value, offset));
        index(path, value);
        for (String ancestor : ancestors(path)) {
            store(mInnerVersions, ancestor, offset);
        }
        return Optional.empty();
    }

    /** Restores a tree from a snapshot. */
    static ConfigTree of(Map<String, Setting> settings, Map<String, Long> innerVersions) {
        ConfigTree tree = new ConfigTree();
        tree.mSettings.putAll(settings);
        tree.mInnerVersions.putAll(innerVersions);
        settings.forEach((path, setting) -> tree.index(path, setting.value()));
        tree.begin();
        return tree;
    }

    ConfigTree copy() {
        return of(mSettings, mInnerVersions);
    }

    /** Sets a map entry, or removes it if the value is null, and records how to undo this. */
    private <V> void store(Map<String, V> map, String key, V value) {
        V before = map.get(key);
        mUndoActions.add(() -> putOrRemove(map, key, before));
        putOrRemove(map, key, value);
    }

    private static <V> void putOrRemove(Map<String, V> map, String key, V value) {
        if (value == null) {
            map.remove(key);
        } else {
            map.put(key, value);
        }
    }

    private void removeSetting(String path, long offset) {
        Setting removed = mSettings.get(path);
        store(mSettings, path, null);
        if (isKeyHash(path)) {
            store(mPathByKeyHash, removed.value().textValue(), null);
        }
        for (String ancestor : ancestors(path)) {
            boolean isEmpty = !ancestor.isEmpty() && below(mSettings, ancestor).isEmpty();
            if (isEmpty) {
                store(mInnerVersions, ancestor, null);
                unindexWorkspace(ancestor);
            } else {
                store(mInnerVersions, ancestor, offset);
            }
        }
    }

    private Optional<EntryFault> uniquenessFault(String path, JsonNode value) {
        String[] segments = SettingPath.split(path);
        if (isInWorkspace(segments)) {
            String team = mTeamByWorkspace.get(segments[WORKSPACE_SEGMENT]);
            if (team != null && !team.equals(segments[1])) {
                String reason = path + ": the name is taken by a workspace of team " + team;
                return Optional.of(EntryFault.invalid(path, reason));
            }
        }
        if (isKeyHash(path)) {
            String holder = mPathByKeyHash.get(value.textValue());
            if (holder != null && !holder.equals(path)) {
                String reason = path + ": the key is in use at another path; use a new key";
                return Optional.of(EntryFault.invalid(path, reason));
            }
        }
        return Optional.empty();
    }

    private void index(String path, JsonNode value) {
        String[] segments = SettingPath.split(path);
        if (isInWorkspace(segments)) {
            store(mTeamByWorkspace, segments[WORKSPACE_SEGMENT], segments[1]);
        }
        if (isKeyHash(path)) {
            store(mPathByKeyHash, value.textValue(), path);
        }
    }

    private void unindexWorkspace(String innerPath) {
        String[] segments = SettingPath.split(innerPath);
        if (segments.length == WORKSPACE_SEGMENT + 1 && isInWorkspace(segments)) {
            store(mTeamByWorkspace, segments[WORKSPACE_SEGMENT], null);
        }
    }

    private static boolean isInWorkspace(String[] segments) {
        return segments.length > WORKSPACE_SEGMENT
                && segments[0].equals("teams")
                && segments[2].equals("workspaces");
    }

    private static boolean isKeyHash(String path) {
        return path.endsWith("/sha256");
    }

    private static List<String> ancestors(String path) {
        List<String> ancestors = new ArrayList<>();
        ancestors.add("");
        for (int slash = path.indexOf('/'); slash >= 0; slash = path.indexOf('/', slash + 1)) {
            ancestors.add(path.substring(0, slash));
        }
        return ancestors;
    }

    /** Returns the entries strictly below a path; '0' is the character after '/'. */
    private static <T> SortedMap<String, T> below(TreeMap<String, T> map, String path) {
        return map.subMap(path + "/", path + "0");
    }
}
