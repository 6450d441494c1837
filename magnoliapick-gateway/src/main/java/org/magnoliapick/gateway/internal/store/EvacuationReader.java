package org.magnoliapick.gateway.internal.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.magnoliapick.gateway.Dialect;
import org.magnoliapick.gateway.StoreRecord;
import org.magnoliapick.gateway.internal.log.EventLog;
import org.magnoliapick.lib.FailureDomain;
import org.magnoliapick.member.StoreRelay;
import org.magnoliapick.pool.DomainEvacuation;
import org.magnoliapick.pool.EvacuatedDomains;

/**
 * Applies the records of evacuations. A domain is evacuated as long as its key exists, whatever its
 * value is: otherwise a restarted instance, which reads only the newest record, would decide
 * differently from one that has read the records before an unreadable one.
 */
public final class EvacuationReader {
    private final Dialect mDialect;
    private final EventLog mLog;
    private final EvacuatedDomains mDomains;
    private final StoreRelay mStoreRelay;
    private final Runnable mOnChange;

    /**
     * Creates a reader.
     *
     * @param onChange runs when the evacuated domains changed
     */
    public EvacuationReader(
            Dialect dialect,
            EventLog log,
            EvacuatedDomains domains,
            StoreRelay storeRelay,
            Runnable onChange) {
        mDialect = dialect;
        mLog = log;
        mDomains = domains;
        mStoreRelay = storeRelay;
        mOnChange = onChange;
    }

    /** Returns whether a record is one of an evacuation. */
    boolean isEvacuation(StoreRecord record) {
        return domain(record).isPresent();
    }

    void applySnapshot(List<StoreRecord> records, long endOffset) {
        if (mDomains.applySnapshot(evacuations(records), mStoreRelay.epoch(), endOffset)) {
            mOnChange.run();
        }
    }

    void applyRecords(List<StoreRecord> records) {
        boolean changed = false;
        for (DomainEvacuation each : evacuations(records)) {
            changed |= mDomains.apply(each);
        }
        if (changed) {
            mOnChange.run();
        }
    }

    private List<DomainEvacuation> evacuations(List<StoreRecord> records) {
        List<DomainEvacuation> evacuations = new ArrayList<>();
        for (StoreRecord record : records) {
            domain(record)
                    .ifPresent(
                            domain ->
                                    evacuations.add(
                                            new DomainEvacuation(
                                                    domain,
                                                    !record.isTombstone(),
                                                    mStoreRelay.epoch(),
                                                    record.offset())));
        }
        return evacuations;
    }

    /** Returns the domain that a record is about; a fault must not block other records. */
    private Optional<FailureDomain> domain(StoreRecord record) {
        try {
            return mDialect.readEvacuation(record.key());
        } catch (RuntimeException | Error e) {
            mLog.line("evacuation.unreadable")
                    .with("offset", record.offset())
                    .with("fault", e)
                    .log();
            return Optional.empty();
        }
    }
}
