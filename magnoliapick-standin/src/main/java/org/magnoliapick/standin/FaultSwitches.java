package org.magnoliapick.standin;

import java.util.EnumMap;
import java.util.Map;

/** The faults that are switched on at one stand-in. */
public final class FaultSwitches {
    /** Number of calls for a fault that stays on until it is cleared. */
    public static final int ALWAYS = -1;

    private final Map<Fault, Switch> mSwitches = new EnumMap<>(Fault.class);
    private long mDelayMillis;

    private record Switch(int calls, String method) {
        boolean fits(String usedMethod) {
            return method.isEmpty() || method.equals(usedMethod);
        }
    }

    /** Switches a fault on for a number of calls, whatever their method. */
    public synchronized void set(Fault fault, int calls) {
        set(fault, calls, "");
    }

    /** Switches a fault on for a number of calls of one HTTP method; empty means any method. */
    public synchronized void set(Fault fault, int calls, String method) {
        mSwitches.put(fault, new Switch(calls, method));
    }

    /** Delays every call by the given time in milliseconds. */
    public synchronized void setDelayMillis(long delayMillis) {
        mDelayMillis = delayMillis;
    }

    /** Switches all faults off and lets stalled calls go. */
    public synchronized void clear() {
        mSwitches.clear();
        mDelayMillis = 0;
        notifyAll();
    }

    synchronized long delayMillis() {
        return mDelayMillis;
    }

    /** Returns whether the fault is on for a call, and counts the call. */
    synchronized boolean take(Fault fault, String method) {
        Switch found = mSwitches.get(fault);
        if (found == null || !found.fits(method)) {
            return false;
        }
        if (found.calls() == 1) {
            mSwitches.remove(fault);
        } else if (found.calls() > 1) {
            mSwitches.put(fault, new Switch(found.calls() - 1, found.method()));
        }
        return true;
    }

    /** Waits until the faults are cleared. */
    synchronized void awaitClear() throws InterruptedException {
        wait();
    }
}
