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
 * The configuration folded from the log. What it holds is a function of the log's prefix up to
 * {@link #offset} and of nothing else, so that every reader agrees at the same offset. Used by one
 * thread at a time.
 */
public final class ConfigState {
    /** The most accepted entries whose author and reason are kept. */
    public static final int MAX_HISTORY_ENTRIES = 1_000;

    /** The most rejected entries that are kept. */
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
        history.forEach(entry -> mOutcomes.put(entry.id(), accepted(entry)));
        rejected.stream()
                .filter(entry -> !entry.id().isEmpty())
                .forEach(entry -> mOutcomes.put(entry.id(), new ApplyResult.Rejected(entry)));
    }

    /** Reads a snapshot; empty where the bytes are not one. */
    public static Optional<ConfigState> ofSnapshot(byte[] bytes) {
        return ConfigSnapshot.decode(bytes);
    }

    /** Returns the state as bytes, the same ones on every reader at this offset. */
    public byte[] snapshot() {
        return ConfigSnapshot.encode(this);
    }

    /** Returns a hash of the state, the same one on every reader at this offset. */
    public String digest() {
        return KeyHash.ofBytes(snapshot());
    }

    /** Returns the offset of the last entry folded; -1 before any. */
    public long offset() {
        return mOffset;
    }

    /** Returns the settings at and below a path; the empty path is the whole tree. */
    public SortedMap<String, Setting> subtree(String path) {
        return mTree.subtree(path);
    }

    /** Returns the log offset that last changed a path or anything below it; -1 if absent. */
    public long version(String path) {
        return mTree.version(path);
    }

    /** Returns the kept accepted entries, oldest first. */
    public List<HistoryEntry> history() {
        return List.copyOf(mHistory);
    }

    /** Returns the kept rejected entries, oldest first. */
    public List<RejectedEntry> rejected() {
        return List.copyOf(mRejected);
    }

    /** Finds what became of an entry, as long as it is kept. */
    public Optional<ApplyResult> outcomeOf(String id) {
        return Optional.ofNullable(mOutcomes.get(id));
    }

    /** Returns the typed view of the settings in force. */
    public FleetConfig view() {
        if (mView == null) {
            mView = new FleetConfigBuilder(mOffset).build(mTree.settings());
        }
        return mView;
    }

    /** Returns the offset at which the whole configuration was last set anew; -1 if never. */
    long replacedAtOffset() {
        return mReplacedAtOffset;
    }

    /** Returns the tree's inner versions, for the snapshot. */
    SortedMap<String, Long> innerVersions() {
        return mTree.innerVersions();
    }

    /**
     * Folds the next entry of the log. The caller passes entries in the order of their offsets; an
     * entry that is not after the present offset is ignored.
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
                        : change(entry, offset);
        if (fault.isPresent()) {
            return reject(offset, appendedAtMillis, entry.id(), entry.author(), fault.get());
        }
        return accept(entry, offset, appendedAtMillis);
    }

    /**
     * Returns what an entry would do if it were the next one of the log. The state stays as it is.
     */
    public Optional<EntryFault> validate(ConfigEntry entry) {
        ConfigState trial =
                new ConfigState(
                        mTree.copy(),
                        mOffset,
                        mReplacedAtOffset,
                        new ArrayDeque<>(),
                        new ArrayDeque<>());
        return trial.apply(mOffset + 1, 0, entry.encode()).rejection().map(RejectedEntry::fault);
    }

    private Optional<EntryFault> change(ConfigEntry entry, long offset) {
        Optional<EntryFault> fault = expectFault(entry);
        if (fault.isPresent()) {
            return fault;
        }
        TreeMap<String, JsonNode> values = new TreeMap<>();
        for (Map.Entry<String, JsonNode> each : entry.set().entrySet()) {
            Optional<JsonNode> canonical =
                    SettingPath.of(each.getKey()).flatMap(row -> row.canonical(each.getValue()));
            if (canonical.isEmpty()) {
                return Optional.of(EntryFaults.ofValue(each.getKey(), each.getValue()));
            }
            values.put(each.getKey(), canonical.get());
        }
        return changeTree(entry, values, offset);
    }

    private Optional<EntryFault> changeTree(
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
                return Optional.of(EntryFaults.ofUnset(path));
            }
        }
        return Optional.empty();
    }

    private Optional<EntryFault> put(Map<String, JsonNode> values, long offset) {
        for (Map.Entry<String, JsonNode> value : values.entrySet()) {
            Optional<EntryFault> clash = mTree.put(value.getKey(), value.getValue(), offset);
            if (clash.isPresent()) {
                return clash;
            }
        }
        return Optional.empty();
    }

    private Optional<EntryFault> expectFault(ConfigEntry entry) {
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
            // Readers that know the past and readers that do not must hold the same state.
            mReplacedAtOffset = offset;
            mHistory.clear();
            mRejected.clear();
            mOutcomes.clear();
        }
        HistoryEntry kept =
                new HistoryEntry(
                        offset,
                        appendedAtMillis,
                        entry.id(),
                        entry.author(),
                        entry.reason(),
                        entry.set(),
                        entry.unset());
        mHistory.addLast(kept);
        if (mHistory.size() > MAX_HISTORY_ENTRIES) {
            mOutcomes.remove(mHistory.removeFirst().id());
        }
        ApplyResult.Accepted result = accepted(kept);
        mOutcomes.put(entry.id(), result);
        return result;
    }

    private ApplyResult reject(
            long offset, long appendedAtMillis, String id, String author, EntryFault fault) {
        RejectedEntry kept = new RejectedEntry(offset, appendedAtMillis, id, author, fault);
        ApplyResult.Rejected result = new ApplyResult.Rejected(kept);
        if (fault.kind() == EntryFault.Kind.REPEATED) {
            return result;
        }
        mRejected.addLast(kept);
        if (mRejected.size() > MAX_REJECTED_ENTRIES) {
            mOutcomes.remove(mRejected.removeFirst().id());
        }
        if (!id.isEmpty()) {
            mOutcomes.put(id, result);
        }
        return result;
    }

    private static ApplyResult.Accepted accepted(HistoryEntry entry) {
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
