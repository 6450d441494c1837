package org.magnoliapick.rpc;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.quarantine.PartKey;
import org.magnoliapick.quarantine.Sighting;
import org.magnoliapick.quarantine.SuspectReport;
import org.magnoliapick.quarantine.SuspectUpdate;
import org.magnoliapick.rpc.gen.UseSighting;
import org.magnoliapick.rpc.gen.UseSuspect;
import org.magnoliapick.rpc.gen.UseSuspects;

/** Turns updates on suspected prompt parts into messages and back; times travel as ages. */
final class SuspectCodec {
    private SuspectCodec() {}

    static UseSuspects update(SuspectUpdate update, long nowMillis) {
        UseSuspects message = new UseSuspects(update.version());
        for (SuspectReport each : update.suspects()) {
            message.addToSuspects(
                    new UseSuspect(
                            each.part().service(),
                            each.part().part(),
                            each.sightings().stream()
                                    .map(sighting -> sighting(sighting, nowMillis))
                                    .toList()));
        }
        return message;
    }

    private static UseSighting sighting(Sighting sighting, long nowMillis) {
        UseSighting message =
                new UseSighting(
                        sighting.upstream().value(),
                        sighting.startedMillis(),
                        List.copyOf(sighting.requests()),
                        nowMillis - sighting.atMillis());
        if (sighting.refuted()) {
            message.setRefuted(true);
        }
        return message;
    }

    static SuspectUpdate update(UseSuspects message, long nowMillis) {
        List<SuspectReport> suspects = new ArrayList<>();
        if (message.isSetSuspects()) {
            for (UseSuspect each : message.getSuspects()) {
                suspects.add(
                        new SuspectReport(
                                new PartKey(each.getServiceName(), each.getPart()),
                                each.getSightings().stream()
                                        .map(sighting -> sighting(sighting, nowMillis))
                                        .toList()));
            }
        }
        return new SuspectUpdate(message.getVersion(), suspects);
    }

    private static Sighting sighting(UseSighting message, long nowMillis) {
        return new Sighting(
                new UpstreamId(message.getUpstream()),
                message.getStartedMillis(),
                new TreeSet<>(message.getRequests()),
                nowMillis - message.getAgeMillis(),
                message.isRefuted());
    }
}
