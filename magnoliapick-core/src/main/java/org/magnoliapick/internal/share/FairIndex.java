package org.magnoliapick.internal.share;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.lib.WorkspaceId;

/**
 * The backlogged workspaces ordered by normalised service, the service received divided by weight,
 * including work in flight. Updates take time logarithmic in the number of backlogged workspaces.
 */
final class FairIndex {
    /** Maximum lead as a multiple of the largest request cost plus the total work in flight. */
    private static final double LEAD_CAP_FACTOR = 2;

    /** Lower bound of the maximum lead, in service units. */
    private static final double MIN_LEAD_CAP_UNITS = 1_000;

    private final Weights mWeights = new Weights();
    private final Map<WorkspaceId, Account> mAccounts = new HashMap<>();
    private final TreeSet<Account> mBacklogged = new TreeSet<>(Account.BY_KEY);
    private double mLargestCostUnits;
    private double mInFlightUnits;
    private int mInFlightAccounts;

    /** Lowest key among the backlogged workspaces when one last stopped being backlogged. */
    private double mFloor;

    /** Applies the weights of a new configuration. */
    void setConfig(FleetConfig config) {
        mWeights.setConfig(config);
    }

    /**
     * Marks a workspace as backlogged. If it was idle, its normalised service is raised to that of
     * the least served workspace less the largest cost of one request, so that idle time earns no
     * further priority.
     *
     * @param backloggedElsewhere whether it has requests queued for another pool: then it was not
     *     idle and may be behind by as much as the maximum lead
     */
    void markBacklogged(WorkspaceId workspace, boolean backloggedElsewhere) {
        Account account = account(workspace);
        if (mBacklogged.contains(account)) {
            return;
        }
        activate(account);
        double slackUnits = backloggedElsewhere ? leadCapUnits() : mLargestCostUnits;
        double floor = floor() - slackUnits / mWeights.weight(workspace);
        account.moveKeyTo(Math.max(account.key(), floor));
        capLead(account);
        mBacklogged.add(account);
    }

    /** Marks a workspace as not backlogged; it stays active while it has work in flight. */
    void clearBacklogged(WorkspaceId workspace) {
        Account account = mAccounts.get(workspace);
        if (account == null || !mBacklogged.contains(account)) {
            return;
        }
        mFloor = mBacklogged.first().key();
        mBacklogged.remove(account);
        deactivateIfIdle(account);
    }

    /** Records the cost of one request; the largest one determines the maximum lead. */
    void recordCost(double units) {
        mLargestCostUnits = Math.max(mLargestCostUnits, Units.clampRequest(units));
    }

    /** Returns the largest recorded cost of one request, in service units. */
    double largestCostUnits() {
        return mLargestCostUnits;
    }

    /** Charges service that a workspace has received, in service units. */
    void charge(WorkspaceId workspace, double units) {
        double boundedUnits = Units.clampCounter(units);
        Account account = account(workspace);
        double weight = mWeights.weight(workspace);
        updateAccount(account, () -> account.addServed(boundedUnits, weight));
    }

    /**
     * Sets the estimated remaining cost of the requests of a workspace in flight, in service units.
     */
    void setInFlight(WorkspaceId workspace, double units) {
        Account account = account(workspace);
        double before = account.inFlightUnits();
        updateAccount(account, () -> account.setInFlightUnits(units));
        updateInFlightTotal(before, account.inFlightUnits());
        if (account.inFlightUnits() > 0) {
            activate(account);
        }
        deactivateIfIdle(account);
    }

    /** Returns the least served backlogged workspace, if there is one. */
    Optional<WorkspaceId> leastServed() {
        return mBacklogged.isEmpty()
                ? Optional.empty()
                : Optional.of(mBacklogged.first().workspace());
    }

    /** Returns the backlogged workspaces, least served first. */
    Iterable<WorkspaceId> leastServedFirst() {
        return this::iterator;
    }

    /** Returns whether a workspace is marked as backlogged. */
    boolean isBacklogged(WorkspaceId workspace) {
        Account account = mAccounts.get(workspace);
        return account != null && mBacklogged.contains(account);
    }

    /** Returns the normalised service of a workspace above the least served backlogged one. */
    double lead(WorkspaceId workspace) {
        return Math.max(0, normalisedService(workspace) - floor());
    }

    /**
     * Sets the normalised service of a workspace that is not known yet to the lead that an earlier
     * dispatcher granted it.
     */
    void restoreLead(WorkspaceId workspace, double leadUnits) {
        if (!mAccounts.containsKey(workspace)) {
            account(workspace).moveKeyTo(Units.clampCounter(leadUnits));
        }
    }

    /** Returns the number of backlogged workspaces. */
    int backloggedCount() {
        return mBacklogged.size();
    }

    /** Returns the normalised service of a workspace, including work in flight; 0 if unknown. */
    double normalisedService(WorkspaceId workspace) {
        Account account = mAccounts.get(workspace);
        return account == null ? 0 : account.key();
    }

    /** Returns the effective weight of a workspace: its part of the weight of its team. */
    double weight(WorkspaceId workspace) {
        return mWeights.weight(workspace);
    }

    private void activate(Account account) {
        if (!account.isActive()) {
            account.setActive(true);
            mWeights.activate(account.workspace());
            account.updateKey(mWeights.weight(account.workspace()));
        }
    }

    private void deactivateIfIdle(Account account) {
        if (account.isActive() && account.inFlightUnits() == 0 && !mBacklogged.contains(account)) {
            account.setActive(false);
            mWeights.deactivate(account.workspace());
        }
    }

    /** Updates the total; it is reset when nothing is in flight, so no rounding errors remain. */
    private void updateInFlightTotal(double before, double after) {
        mInFlightAccounts += (after > 0 ? 1 : 0) - (before > 0 ? 1 : 0);
        double total = mInFlightUnits + after - before;
        mInFlightUnits = mInFlightAccounts == 0 ? 0 : Math.max(0, total);
    }

    /** Updates an account outside the sorted set, whose order depends on the key. */
    private void updateAccount(Account account, Runnable update) {
        boolean wasBacklogged = mBacklogged.remove(account);
        update.run();
        account.updateKey(mWeights.weight(account.workspace()));
        if (wasBacklogged) {
            capLead(account);
            mBacklogged.add(account);
        }
    }

    /** Lowers the key of an account to the maximum lead over the least served workspace. */
    private void capLead(Account account) {
        if (mBacklogged.isEmpty()) {
            return;
        }
        double leadCap = leadCapUnits() / mWeights.weight(account.workspace());
        double maxKey = mBacklogged.first().key() + leadCap;
        if (account.key() > maxKey) {
            account.moveKeyTo(maxKey);
        }
    }

    private double floor() {
        return mBacklogged.isEmpty() ? mFloor : mBacklogged.first().key();
    }

    private double leadCapUnits() {
        return Math.max(MIN_LEAD_CAP_UNITS, LEAD_CAP_FACTOR * (mLargestCostUnits + mInFlightUnits));
    }

    private Iterator<WorkspaceId> iterator() {
        return mBacklogged.stream().map(Account::workspace).iterator();
    }

    private Account account(WorkspaceId workspace) {
        return mAccounts.computeIfAbsent(workspace, Account::new);
    }
}
