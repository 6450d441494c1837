package org.magnoliapick.gateway.internal.peer;

import java.util.Optional;
import org.magnoliapick.gateway.internal.relay.Pools;
import org.magnoliapick.member.PeerTable;
import org.magnoliapick.member.PendingReport;
import org.magnoliapick.member.UpdateExchange;
import org.magnoliapick.member.UpdateSubject;
import org.magnoliapick.pool.InstancePacket;
import org.magnoliapick.pool.InstanceReport;
import org.magnoliapick.pool.UpstreamNotices;

/**
 * Exchanges with other instances what upstreams stated about themselves, and the evacuated failure
 * domains, so that an instance that cannot read the store learns these as well.
 */
final class NoticeExchange {
    private final PeerTable mTable;
    private final Pools mPools;

    NoticeExchange(PeerTable table, Pools pools) {
        mTable = table;
        mPools = pools;
    }

    /** Returns what the receiver of a report lacks. */
    UpstreamNotices toSend(PendingReport target, long nowMillis) {
        return new UpstreamNotices(
                exchange(target.address(), UpdateSubject.LEAVING)
                        .flatMap(each -> each.toSend(mPools.leaving()::updateFor, nowMillis)),
                // Only instances that may decide for this one need its pauses.
                exchange(target.address(), UpdateSubject.PAUSES)
                        .filter(each -> target.content() == PendingReport.Content.OWN_USE)
                        .flatMap(each -> each.toSend(mPools.pauses()::updateFor, nowMillis)),
                exchange(target.address(), UpdateSubject.EVACUATIONS)
                        .flatMap(each -> each.toSend(mPools.evacuated()::updateFor, nowMillis)),
                exchange(target.address(), UpdateSubject.COLD)
                        .flatMap(each -> each.toSend(mPools.cold()::updateFor, nowMillis)));
    }

    /** Applies what another instance sent. */
    void receive(InstancePacket packet, long nowMillis) {
        packet.notices()
                .leaving()
                .ifPresent(
                        update -> {
                            mPools.applyLeaving(update, packet.from().value(), nowMillis);
                            exchange(packet.address(), UpdateSubject.LEAVING)
                                    .ifPresent(each -> each.received(update.version()));
                        });
        packet.notices()
                .evacuations()
                .ifPresent(
                        update -> {
                            mPools.applyEvacuations(update, packet.from().value(), nowMillis);
                            exchange(packet.address(), UpdateSubject.EVACUATIONS)
                                    .ifPresent(each -> each.received(update.version()));
                        });
        packet.notices()
                .cold()
                .ifPresent(
                        update -> {
                            mPools.cold().applyUpdate(update, packet.from().value(), nowMillis);
                            exchange(packet.address(), UpdateSubject.COLD)
                                    .ifPresent(each -> each.received(update.version()));
                        });
        packet.report()
                .map(InstanceReport::startedMillis)
                .ifPresent(started -> receivePauses(packet, started, nowMillis));
    }

    private void receivePauses(InstancePacket packet, long startedMillis, long nowMillis) {
        mPools.pauses().reportReceived(packet.from(), startedMillis);
        packet.notices()
                .pauses()
                .ifPresent(
                        update -> {
                            mPools.pauses()
                                    .applyUpdate(packet.from(), startedMillis, update, nowMillis);
                            exchange(packet.address(), UpdateSubject.PAUSES)
                                    .ifPresent(each -> each.received(update.version()));
                        });
    }

    private Optional<UpdateExchange> exchange(String address, UpdateSubject subject) {
        return mTable.exchange(address, subject);
    }
}
