package org.magnoliapick.internal.share;

import java.util.Comparator;
import org.magnoliapick.lib.WorkspaceId;

/**
 * The normalised service that one workspace has received, as one {@link FairIndex} counts it: each
 * charge in service units is divided by the weight of the workspace at that time.
 */
final class Account {
    /** Orders by normalised service, including work in flight. */
    static final Comparator<Account> BY_KEY =
            Comparator.comparingDouble((Account account) -> account.mKey)
                    .thenComparing(account -> account.mWorkspace);

    private final WorkspaceId mWorkspace;
    private double mServedNormalised;
    private double mInFlightUnits;
    private double mKey;
    private boolean mActive;

    Account(WorkspaceId workspace) {
        mWorkspace = workspace;
    }

    WorkspaceId workspace() {
        return mWorkspace;
    }

    /** Returns the sort key: the normalised service, including work in flight. */
    double key() {
        return mKey;
    }

    double inFlightUnits() {
        return mInFlightUnits;
    }

    /** Returns whether the workspace counts as active in its team. */
    boolean isActive() {
        return mActive;
    }

    void setActive(boolean active) {
        mActive = active;
    }

    void addServed(double units, double weight) {
        mServedNormalised = Units.clampCounter(mServedNormalised + units / weight);
    }

    void setInFlightUnits(double units) {
        mInFlightUnits = Units.clampCounter(units);
    }

    /** Sets the key by raising or lowering the normalised service. */
    void moveKeyTo(double key) {
        mServedNormalised = Units.clampCounter(mServedNormalised + key - mKey);
        mKey = key;
    }

    void updateKey(double weight) {
        mKey = Units.clampCounter(mServedNormalised + mInFlightUnits / weight);
    }
}
