package org.magnoliapick.rpc;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.quarantine.Sighting;
import org.magnoliapick.quarantine.SuspectKey;
import org.magnoliapick.quarantine.SuspectReport;
import org.magnoliapick.quarantine.SuspectUpdate;
import org.magnoliapick.relay.Fingerprint;
import org.magnoliapick.rpc.gen.UseSighting;
import org.magnoliapick.rpc.gen.UseSuspect;
import org.magnoliapick.rpc.gen.UseSuspectContent;
import org.magnoliapick.rpc.gen.UseSuspects;

/**
 * Turns updates on suspected prompt parts and fingerprints into messages and back; times travel as
 * ages.
 */
final class SuspectCodec {
    private SuspectCodec() {}

    static UseSuspects update(SuspectUpdate update, long nowMillis) {
        UseSuspects message = new UseSuspects(update.version());
        for (SuspectReport each : update.suspects()) {
            SuspectKey key = each.key();
            if (key.kind() == SuspectKey.Kind.PART) {
                message.addToSuspects(
                        new UseSuspect(
                                key.service(),
                                key.id(),
                                each.sightings().stream()
                                        .map(
                                                sighting ->
                                                        sighting(
                                                                sighting,
                                                                List.copyOf(sighting.requests()),
                                                                nowMillis))
                                        .toList()));
            } else {
                message.addToContents(
                        new UseSuspectContent(
                                key.service(),
                                HexFormat.fromHexDigitsToLong(key.id()),
                                // The only request of each crash is the one with the fingerprint.
                                each.sightings().stream()
                                        .map(sighting -> sighting(sighting, List.of(), nowMillis))
                                        .toList()));
            }
        }
        return message;
    }

    private static UseSighting sighting(Sighting sighting, List<String> requests, long nowMillis) {
        UseSighting message =
                new UseSighting(
                        sighting.upstream().value(),
                        sighting.startedMillis(),
                        requests,
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
                                new SuspectKey(
                                        each.getServiceName(),
                                        SuspectKey.Kind.PART,
                                        each.getPart()),
                                each.getSightings().stream()
                                        .map(
                                                sighting ->
                                                        sighting(
                                                                sighting,
                                                                new TreeSet<>(
                                                                        sighting.getRequests()),
                                                                nowMillis))
                                        .toList()));
            }
        }
        if (message.isSetContents()) {
            for (UseSuspectContent each : message.getContents()) {
                Fingerprint fingerprint = new Fingerprint(each.getFingerprint());
                SortedSet<String> request = new TreeSet<>(List.of(fingerprint.toString()));
                suspects.add(
                        new SuspectReport(
                                SuspectKey.fingerprint(each.getServiceName(), fingerprint),
                                each.getSightings().stream()
                                        .map(sighting -> sighting(sighting, request, nowMillis))
                                        .toList()));
            }
        }
        return new SuspectUpdate(message.getVersion(), suspects);
    }

    private static Sighting sighting(
            UseSighting message, SortedSet<String> requests, long nowMillis) {
        return new Sighting(
                new UpstreamId(message.getUpstream()),
                message.getStartedMillis(),
                requests,
                nowMillis - message.getAgeMillis(),
                message.isRefuted());
    }
}
