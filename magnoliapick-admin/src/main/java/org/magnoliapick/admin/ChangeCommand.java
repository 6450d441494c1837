package org.magnoliapick.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import org.magnoliapick.config.ApplyResult;
import org.magnoliapick.config.ConfigEntry;
import org.magnoliapick.config.EntryFault;
import org.magnoliapick.config.RejectedEntry;
import org.magnoliapick.ports.AppendResult;
import org.magnoliapick.ports.LogService;

/**
 * Changes settings. The change counts as accepted only after this instance has read its own entry
 * back from the log. Set the parts, then {@link #call} once.
 */
public final class ChangeCommand {
    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(5);

    private final LogService mLog;
    private final ConfigFollower mFollower;
    private final Map<String, Long> mExpect = new TreeMap<>();
    private final Map<String, JsonNode> mSet = new TreeMap<>();
    private final List<String> mUnset = new ArrayList<>();
    private String mToken = UUID.randomUUID().toString();
    private String mAuthor = "";
    private String mReason = "";
    private Duration mTimeout = DEFAULT_TIMEOUT;
    private boolean mIsDryRun;

    /** Creates an empty change. */
    public ChangeCommand(LogService log, ConfigFollower follower) {
        mLog = log;
        mFollower = follower;
    }

    /** Sets the identifier of the change, so that a lost answer can be asked for again. */
    public ChangeCommand setToken(String token) {
        mToken = token;
        return this;
    }

    /** Sets who makes the change. */
    public ChangeCommand setAuthor(String author) {
        mAuthor = author;
        return this;
    }

    /** Sets why the change is made. */
    public ChangeCommand setReason(String reason) {
        mReason = reason;
        return this;
    }

    /** Sets a value. */
    public ChangeCommand set(String path, JsonNode value) {
        mSet.put(path, value);
        return this;
    }

    /** Removes a path with all below it. */
    public ChangeCommand unset(String path) {
        mUnset.add(path);
        return this;
    }

    /** Makes the change depend on a path's version; -1 stands for an absent path. */
    public ChangeCommand expect(String path, long version) {
        mExpect.put(path, version);
        return this;
    }

    /** Sets how long to wait for the log and for reading the entry back. */
    public ChangeCommand setTimeout(Duration timeout) {
        mTimeout = timeout;
        return this;
    }

    /** Makes the call only check the change against the configuration in force here. */
    public ChangeCommand setDryRun(boolean isDryRun) {
        mIsDryRun = isDryRun;
        return this;
    }

    /** Appends the change and waits until it was read back. */
    public ChangeResult call() {
        ConfigEntry entry = new ConfigEntry(mToken, mAuthor, mReason, mExpect, mSet, mUnset, -1);
        Optional<ApplyResult> earlier = mFollower.read(state -> state.outcomeOf(mToken));
        if (earlier.isPresent()) {
            return ofOutcome(earlier.get());
        }
        Optional<EntryFault> fault = mFollower.read(state -> state.validate(entry));
        boolean isInvalid = fault.isPresent() && fault.get().kind() == EntryFault.Kind.INVALID;
        if (mIsDryRun || isInvalid) {
            return fault.map(ChangeResult::of)
                    .orElseGet(() -> new ChangeResult.Accepted(mFollower.config().offset()));
        }
        return append(entry);
    }

    /** Finds out what became of an earlier change. */
    public ChangeResult ask() {
        return readBack();
    }

    private ChangeResult append(ConfigEntry entry) {
        AppendResult result = mLog.append(ConfigFollower.STREAM, entry.encode(), mTimeout);
        if (result instanceof AppendResult.Refused refused) {
            return new ChangeResult.LogUnavailable(refused.reason());
        }
        return readBack();
    }

    private ChangeResult readBack() {
        try {
            return mFollower
                    .awaitOutcome(mToken, mTimeout)
                    .map(ChangeCommand::ofOutcome)
                    .orElseGet(() -> new ChangeResult.Unknown(mToken));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new ChangeResult.Unknown(mToken);
        }
    }

    private static ChangeResult ofOutcome(ApplyResult outcome) {
        if (outcome instanceof ApplyResult.Accepted accepted) {
            return new ChangeResult.Accepted(accepted.offset());
        }
        EntryFault fault = outcome.rejection().map(RejectedEntry::fault).orElseThrow();
        return ChangeResult.of(fault);
    }
}
