package org.magnoliapick.internal.share;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.magnoliapick.config.FleetConfig;
import org.magnoliapick.lib.WorkspaceId;

/**
 * The workspaces ordered by the normalised service they have received. Each change costs the
 * logarithm of the number of backlogged workspaces.
 */
final class FairIndex {
    /** The most that is carried, as a multiple of the largest cost and the work in flight. */
    private static final double CARRY_FACTOR = 2;

    private static final double MIN_CARRY_UNITS = 1_000;

    private final Weights mWeights = new Weights();
    private final Map<WorkspaceId, Account> mAccounts = new HashMap<>();
    private final TreeSet<Account> mBacklogged = new TreeSet<>(Account.BY_KEY);
    private double mLargestCostUnits;
    private double mInFlightUnits;
    private int mInFlightAccounts;

    /** The least key of the backlogged workspaces when there were some last. */
    private double mFloor;

    /** Takes new weights. */
    void setConfig(FleetConfig config) {
        mWeights.setConfig(config);
    }

    /**
     * Marks a workspace as backlogged. One that returns from idle is lifted to the least served,
     * less the cost of one request.
     *
     * @param elsewhere whether it has requests waiting elsewhere, so that it was not idle
     */
    void markBacklogged(WorkspaceId workspace, boolean elsewhere) {
        Account account = account(workspace);
        if (mBacklogged.contains(account)) {
            return;
        }
        activate(account);
        double slackUnits = elsewhere ? carryUnits() : mLargestCostUnits;
        double floor = floor() - slackUnits / mWeights.weight(workspace);
        account.moveKeyTo(Math.max(account.key(), floor));
        capCarry(account);
        mBacklogged.add(account);
    }

    /** Marks a workspace as having no waiting request; it stays active while work is in flight. */
    void clearBacklogged(WorkspaceId workspace) {
        Account account = mAccounts.get(workspace);
        if (account == null || !mBacklogged.contains(account)) {
            return;
        }
        mFloor = mBacklogged.first().key();
        mBacklogged.remove(account);
        deactivateIfIdle(account);
    }

    /** Notes the cost of one request, which bounds what is carried. */
    void recordCost(double units) {
        mLargestCostUnits = Math.max(mLargestCostUnits, Units.clampRequest(units));
    }

    /** Returns the largest cost of one request that was noted. */
    double largestCostUnits() {
        return mLargestCostUnits;
    }

    /** Charges service that a workspace has received, in units. */
    void charge(WorkspaceId workspace, double units) {
        double sane = Units.clampCounter(units);
        Account account = account(workspace);
        double weight = mWeights.weight(workspace);
        change(account, () -> account.addServed(sane, weight));
    }

    /** Sets the estimate of what a workspace still has in flight, in units. */
    void setInFlight(WorkspaceId workspace, double units) {
        Account account = account(workspace);
        double before = account.inFlightUnits();
        change(account, () -> account.setInFlightUnits(units));
        countInFlight(before, account.inFlightUnits());
        if (account.inFlightUnits() > 0) {
            activate(account);
        }
        deactivateIfIdle(account);
    }

    /** Finds the backlogged workspace that has received the least. */
    Optional<WorkspaceId> leastServed() {
        return mBacklogged.isEmpty()
                ? Optional.empty()
                : Optional.of(mBacklogged.first().workspace());
    }

    /** Returns the backlogged workspaces, the least served one first. */
    Iterable<WorkspaceId> leastServedFirst() {
        return this::iterator;
    }

    /** Returns whether a workspace is marked as backlogged. */
    boolean isBacklogged(WorkspaceId workspace) {
        Account account = mAccounts.get(workspace);
        return account != null && mBacklogged.contains(account);
    }

    /** Returns how far a workspace is ahead of the least served backlogged one, normalised. */
    double lead(WorkspaceId workspace) {
        return Math.max(0, normalisedService(workspace) - floor());
    }

    /** Gives a workspace that is not known yet the lead that it had elsewhere. */
    void restoreLead(WorkspaceId workspace, double leadUnits) {
        if (!mAccounts.containsKey(workspace)) {
            account(workspace).moveKeyTo(Units.clampCounter(leadUnits));
        }
    }

    /** Counts the backlogged workspaces. */
    int backloggedCount() {
        return mBacklogged.size();
    }

    /** Returns the normalised service of a workspace, in-flight work included. */
    double normalisedService(WorkspaceId workspace) {
        Account account = mAccounts.get(workspace);
        return account == null ? 0 : account.key();
    }

    /** Returns the weight of a workspace in its team's share. */
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

    private void countInFlight(double before, double after) {
        mInFlightAccounts += (after > 0 ? 1 : 0) - (before > 0 ? 1 : 0);
        double sum = mInFlightUnits + after - before;
        mInFlightUnits = mInFlightAccounts == 0 ? 0 : Math.max(0, sum);
    }

    private void change(Account account, Runnable step) {
        boolean wasBacklogged = mBacklogged.remove(account);
        step.run();
        account.updateKey(mWeights.weight(account.workspace()));
        if (wasBacklogged) {
            capCarry(account);
            mBacklogged.add(account);
        }
    }

    /** Forgives what a workspace is ahead of the least served one beyond the carry. */
    private void capCarry(Account account) {
        if (mBacklogged.isEmpty()) {
            return;
        }
        double carry = carryUnits() / mWeights.weight(account.workspace());
        double most = mBacklogged.first().key() + carry;
        if (account.key() > most) {
            account.moveKeyTo(most);
        }
    }

    private double floor() {
        return mBacklogged.isEmpty() ? mFloor : mBacklogged.first().key();
    }

    private double carryUnits() {
        return Math.max(MIN_CARRY_UNITS, CARRY_FACTOR * (mLargestCostUnits + mInFlightUnits));
    }

    private Iterator<WorkspaceId> iterator() {
        return mBacklogged.stream().map(Account::workspace).iterator();
    }

    private Account account(WorkspaceId workspace) {
        return mAccounts.computeIfAbsent(workspace, Account::new);
    }
}
