package org.magnoliapick.internal.share;

import java.util.Comparator;
import org.magnoliapick.lib.WorkspaceId;

/**
 * The service that one workspace has received from one pool's point of view, in service units
 * divided by its weight at the time.
 */
final class Account {
    /** Orders by normalised service, in-flight work included. */
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

    /** Returns the place in the order of service. */
    double key() {
        return mKey;
    }

    double inFlightUnits() {
        return mInFlightUnits;
    }

    /** Returns whether the workspace counts among the active ones of its team. */
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

    /** Raises or lowers the normalised service so that the key becomes the given one. */
    void moveKeyTo(double key) {
        mServedNormalised = Units.clampCounter(mServedNormalised + key - mKey);
        mKey = key;
    }

    void updateKey(double weight) {
        mKey = Units.clampCounter(mServedNormalised + mInFlightUnits / weight);
    }
}
