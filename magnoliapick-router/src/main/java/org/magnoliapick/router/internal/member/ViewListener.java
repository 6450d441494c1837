package org.magnoliapick.router.internal.member;

import org.magnoliapick.member.FleetView;

/** Takes each new view of the fleet. */
public interface ViewListener {
    /** Takes a view that differs from the one before. */
    void viewChanged(FleetView view);
}
