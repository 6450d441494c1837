package org.magnoliapick.bench.driver;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.share.ShareAction;
import org.magnoliapick.share.ShareMessage;

/** Carries control messages between entry instances and counts them. */
final class ControlPlane {
    /** Takes a message at its receiver. */
    interface Receiver {
        void receive(RouterSlot to, InstanceId from, long incarnation, ShareMessage message);
    }

    private final EventQueue mEvents;
    private final Network mNetwork;
    private final Map<InstanceId, RouterSlot> mRouters = new LinkedHashMap<>();
    private final MessageSize mSize;
    private final Receiver mReceiver;

    ControlPlane(
            EventQueue events,
            Network network,
            List<RouterSlot> routers,
            MessageSize size,
            Receiver receiver) {
        mEvents = events;
        mNetwork = network;
        routers.forEach(router -> mRouters.put(router.mId, router));
        mSize = size;
        mReceiver = receiver;
    }

    void send(RouterSlot from, ShareAction.Send send) {
        RouterSlot to = mRouters.get(send.to());
        long bytes = Math.round(mSize.bytes(send.message()).orElse(0));
        from.mMessagesSent++;
        from.mBytesSent += bytes;
        if (to == null || mNetwork.losesNext()) {
            return;
        }
        long incarnation = from.mIncarnation;
        long delayMicros = mNetwork.delayMicros(from.mDomain, to.mDomain);
        mEvents.after(
                delayMicros,
                () -> {
                    if (to.mUp && mNetwork.connects(from.mDomain, to.mDomain)) {
                        to.mMessagesReceived++;
                        to.mBytesReceived += bytes;
                        mReceiver.receive(to, from.mId, incarnation, send.message());
                    }
                });
    }

    /** Returns the entry instance that has received the most messages. */
    RouterSlot busiest() {
        RouterSlot busiest = mRouters.values().iterator().next();
        for (RouterSlot router : mRouters.values()) {
            if (router.mMessagesReceived > busiest.mMessagesReceived) {
                busiest = router;
            }
        }
        return busiest;
    }

    ControlCost cost(long requests, double seconds) {
        long messages = 0;
        long bytes = 0;
        long mostMessages = 0;
        long mostBytes = 0;
        for (RouterSlot router : mRouters.values()) {
            messages += router.mMessagesSent;
            bytes += router.mBytesSent;
            long ownMessages = router.mMessagesSent + router.mMessagesReceived;
            mostMessages = Math.max(mostMessages, ownMessages);
            mostBytes = Math.max(mostBytes, router.mBytesSent + router.mBytesReceived);
        }
        double whole = Math.max(1, requests);
        boolean measured = mSize.isMeasured() || messages == 0;
        return new ControlCost(
                messages / whole,
                measured ? OptionalDouble.of(bytes / whole) : OptionalDouble.empty(),
                mostMessages / seconds,
                measured ? OptionalDouble.of(mostBytes / seconds) : OptionalDouble.empty());
    }
}
