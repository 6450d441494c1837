package org.magnoliapick.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The configuration that results from applying the log's entries in order. The state depends only
 * on the log up to {@link #offset}, so all readers hold the same state at the same offset. Not
 * thread safe.
 */
public final class ConfigState {
    /** The maximum number of accepted entries retained with author and reason. */
    public static final int MAX_HISTORY_ENTRIES = 1_000;

    /** The maximum number of rejected entries retained. */
    public static final int MAX_REJECTED_ENTRIES = 200;

    private ConfigTree mTree;
    private long mOffset;
    private long mReplacedAtOffset;
    private final Deque<HistoryEntry> mHistory;
    private final Deque<RejectedEntry> mRejected;
    private final Map<String, ApplyResult> mOutcomes = new HashMap<>();
    private FleetConfig mView;

    /** Creates the state before any entry. */
    public ConfigState() {
        this(new ConfigTree(), -1, -1, new ArrayDeque<>(), new ArrayDeque<>());
    }

    ConfigState(
            ConfigTree tree,
            long offset,
            long replacedAtOffset,
            Deque<HistoryEntry> history,
            Deque<RejectedEntry> rejected) {
        mTree = tree;
        mOffset = offset;
        mReplacedAtOffset = replacedAtOffset;
        mHistory = history;
        mRejected = rejected;
        history.forEach(entry -> mOutcomes.put(entry.id(), acceptedResult(entry)));
        rejected.stream()
                .filter(entry -> !entry.id().isEmpty())
                .forEach(entry -> mOutcomes.put(entry.id(), new ApplyResult.Rejected(entry)));
    }

    /** Restores a state from a snapshot; empty if the bytes are not a valid snapshot. */
    public static Optional<ConfigState> ofSnapshot(byte[] bytes) {
        return ConfigSnapshot.decode(bytes);
    }

    /** Returns the encoded state. All readers produce the same bytes at the same offset. */
    public byte[] snapshot() {
        return ConfigSnapshot.encode(this);
    }

    /**
     * Returns the lower-case hexadecimal SHA-256 hash of the snapshot. All readers produce the same
     * digest at the same offset.
     */
    public String digest() {
        return KeyHash.ofBytes(snapshot());
    }

    /** Returns the offset of the last applied entry; -1 before the first. */
    public long offset() {
        return mOffset;
    }

    /** Returns the settings at and below a path; the empty path selects the whole tree. */
    public SortedMap<String, Setting> subtree(String path) {
        return mTree.subtree(path);
    }

    /** Returns the log offset that last changed a path or anything below it; -1 if absent. */
    public long version(String path) {
        return mTree.version(path);
    }

    /** Returns the retained accepted entries, oldest first. */
    public List<HistoryEntry> history() {
        return List.copyOf(mHistory);
    }

    /** Returns the retained rejected entries, oldest first. */
    public List<RejectedEntry> rejected() {
        return List.copyOf(mRejected);
    }

    /** Returns the result of applying an entry; empty if the entry is unknown or not retained. */
    public Optional<ApplyResult> outcomeOf(String id) {
        return Optional.ofNullable(mOutcomes.get(id));
    }

    /** Returns the typed view of the current settings. */
    public FleetConfig view() {
        if (mView == null) {
            mView = new FleetConfigBuilder(mOffset).build(mTree.settings());
        }
        return mView;
    }

    /** Returns the offset of the last entry that replaced the configuration; -1 if none did. */
    long replacedAtOffset() {
        return mReplacedAtOffset;
    }

    /** Returns the version of each path that has settings below it, for the snapshot. */
    SortedMap<String, Long> innerVersions() {
        return mTree.innerVersions();
    }

    /**
     * Applies the next entry of the log. Entries must be passed in offset order; an entry at or
     * before the current offset is ignored.
     *
     * @param offset the log offset of the entry
     * @param appendedAtMillis when the entry was appended, in milliseconds since the epoch
     * @param payload the encoded entry
     */
    public ApplyResult apply(long offset, long appendedAtMillis, byte[] payload) {
        if (offset <= mOffset) {
            return new ApplyResult.Ignored(offset);
        }
        mOffset = offset;
        mView = null;
        ConfigEntry.Decoded decoded = ConfigEntry.decode(payload);
        if (decoded.entry().isEmpty()) {
            boolean isRepeated = mOutcomes.containsKey(decoded.id());
            EntryFault fault =
                    isRepeated
                            ? EntryFault.repeated(offsetOf(mOutcomes.get(decoded.id())))
                            : EntryFault.invalid("", decoded.fault());
            return reject(offset, appendedAtMillis, decoded.id(), decoded.author(), fault);
        }
        ConfigEntry entry = decoded.entry().get();
        Optional<ApplyResult> earlier = outcomeOf(entry.id());
        Optional<EntryFault> fault =
                earlier.isPresent()
                        ? Optional.of(EntryFault.repeated(offsetOf(earlier.get())))
                        : applyChange(entry, offset);
        if (fault.isPresent()) {
            return reject(offset, appendedAtMillis, entry.id(), entry.author(), fault.get());
        }
        return accept(entry, offset, appendedAtMillis);
    }

    /**
     * Returns the fault with which an entry would be rejected if it were the next one of the log;
     * empty if it would be accepted. Does not change the state and does not check for a repeated
     * identifier.
     */
    public Optional<EntryFault> validate(ConfigEntry entry) {
        ConfigState scratch =
                new ConfigState(
                        mTree.copy(),
                        mOffset,
                        mReplacedAtOffset,
                        new ArrayDeque<>(),
                        new ArrayDeque<>());
        return scratch.apply(mOffset + 1, 0, entry.encode()).rejection().map(RejectedEntry::fault);
    }

    /** Changes the tree as the entry asks, or returns a fault and leaves the tree unchanged. */
    private Optional<EntryFault> applyChange(ConfigEntry entry, long offset) {
        Optional<EntryFault> fault = preconditionFault(entry);
        if (fault.isPresent()) {
            return fault;
        }
        TreeMap<String, JsonNode> values = new TreeMap<>();
        for (Map.Entry<String, JsonNode> each : entry.set().entrySet()) {
            Optional<JsonNode> canonical =
                    SettingPath.of(each.getKey())
                            .flatMap(settingPath -> settingPath.canonical(each.getValue()));
            if (canonical.isEmpty()) {
                return Optional.of(EntryFaults.invalidValue(each.getKey(), each.getValue()));
            }
            values.put(each.getKey(), canonical.get());
        }
        return updateTree(entry, values, offset);
    }

    private Optional<EntryFault> updateTree(
            ConfigEntry entry, Map<String, JsonNode> values, long offset) {
        ConfigTree before = mTree;
        if (entry.isReplacement()) {
            mTree = new ConfigTree();
        }
        mTree.begin();
        Optional<EntryFault> fault = removeAll(entry.unset(), offset).or(() -> put(values, offset));
        if (fault.isPresent()) {
            mTree.rollback();
            mTree = before;
        }
        return fault;
    }

    private Optional<EntryFault> removeAll(List<String> paths, long offset) {
        for (String path : paths) {
            if (path.isEmpty() || mTree.remove(path, offset).isEmpty()) {
                return Optional.of(EntryFaults.notSet(path));
            }
        }
        return Optional.empty();
    }

    private Optional<EntryFault> put(Map<String, JsonNode> values, long offset) {
        for (Map.Entry<String, JsonNode> value : values.entrySet()) {
            Optional<EntryFault> fault = mTree.put(value.getKey(), value.getValue(), offset);
            if (fault.isPresent()) {
                return fault;
            }
        }
        return Optional.empty();
    }

    private Optional<EntryFault> preconditionFault(ConfigEntry entry) {
        if (entry.isReplacement()) {
            return replacementFault(entry);
        }
        for (Map.Entry<String, Long> expected : entry.expect().entrySet()) {
            long current = mTree.version(expected.getKey());
            if (current != expected.getValue()) {
                return Optional.of(
                        EntryFault.conflict(expected.getKey(), expected.getValue(), current));
            }
        }
        return Optional.empty();
    }

    private Optional<EntryFault> replacementFault(ConfigEntry entry) {
        if (!entry.expect().isEmpty() || !entry.unset().isEmpty()) {
            return Optional.of(EntryFault.invalid("", "A replacement has only set"));
        }
        if (mReplacedAtOffset >= entry.replaceAfter()) {
            return Optional.of(EntryFault.conflict("", entry.replaceAfter(), mReplacedAtOffset));
        }
        return Optional.empty();
    }

    private ApplyResult accept(ConfigEntry entry, long offset, long appendedAtMillis) {
        if (entry.isReplacement()) {
            // Readers with and without the preceding log must hold the same state from here on.
            mReplacedAtOffset = offset;
            mHistory.clear();
            mRejected.clear();
            mOutcomes.clear();
        }
        HistoryEntry retained =
                new HistoryEntry(
                        offset,
                        appendedAtMillis,
                        entry.id(),
                        entry.author(),
                        entry.reason(),
                        entry.set(),
                        entry.unset());
        mHistory.addLast(retained);
        if (mHistory.size() > MAX_HISTORY_ENTRIES) {
            mOutcomes.remove(mHistory.removeFirst().id());
        }
        ApplyResult.Accepted result = acceptedResult(retained);
        mOutcomes.put(entry.id(), result);
        return result;
    }

    private ApplyResult reject(
            long offset, long appendedAtMillis, String id, String author, EntryFault fault) {
        RejectedEntry retained = new RejectedEntry(offset, appendedAtMillis, id, author, fault);
        ApplyResult.Rejected result = new ApplyResult.Rejected(retained);
        if (fault.kind() == EntryFault.Kind.REPEATED) {
            // The result of the entry that used this identifier first must stay available.
            return result;
        }
        mRejected.addLast(retained);
        if (mRejected.size() > MAX_REJECTED_ENTRIES) {
            mOutcomes.remove(mRejected.removeFirst().id());
        }
        if (!id.isEmpty()) {
            mOutcomes.put(id, result);
        }
        return result;
    }

    private static ApplyResult.Accepted acceptedResult(HistoryEntry entry) {
        TreeSet<String> paths = new TreeSet<>(entry.set().keySet());
        paths.addAll(entry.unset());
        return new ApplyResult.Accepted(entry.offset(), new ArrayList<>(paths));
    }

    private static long offsetOf(ApplyResult result) {
        return result instanceof ApplyResult.Accepted accepted
                ? accepted.offset()
                : result.rejection().map(RejectedEntry::offset).orElse(-1L);
    }
}
