package org.magnoliapick.quarantine;

import java.util.ArrayList;
import java.util.List;
import org.magnoliapick.lib.UpstreamId;
import org.magnoliapick.relay.Fingerprint;
import org.magnoliapick.relay.Prompt;
import org.magnoliapick.relay.PromptPart;
import org.magnoliapick.relay.RequestContent;

/** Requests, crashes and a quarantine for tests. */
abstract class QuarantineFixture {
    static final long MINUTE_MILLIS = 60_000;

    final PromptQuarantine mQuarantine = new PromptQuarantine();
    int mLastUpstream;

    static Prompt prompt(String... parts) {
        List<PromptPart> list = new ArrayList<>();
        for (String each : parts) {
            list.add(new PromptPart(each, 100));
        }
        list.add(new PromptPart("own", 100));
        return new Prompt(1_000, 10, list);
    }

    /** Returns the content of a request by its name; repetitions have the same one. */
    static RequestContent content(String request, String... parts) {
        return new RequestContent("s", prompt(parts), new Fingerprint(request.hashCode()));
    }

    static RequestContent other(String... parts) {
        return content("other", parts);
    }

    /** Records that a request made another upstream crash. */
    static void crash(
            PromptQuarantine quarantine,
            int upstream,
            String request,
            long millis,
            String... parts) {
        quarantine.recordCrash(
                content(request, parts), new UpstreamId("u" + upstream), 1, millis, millis);
    }

    void crash(String request, long millis, String... parts) {
        crash(mQuarantine, ++mLastUpstream, request, millis, parts);
    }

    boolean isRefused(long millis, String... parts) {
        return mQuarantine.find(other(parts), millis).isPresent();
    }

    void threeCrashes(String... parts) {
        crash("1", 1_000, parts);
        crash("2", 2_000, parts);
        crash("3", 3_000, parts);
    }

    /** Sends what another instance lacks; returns the version that it knows then. */
    static long send(PromptQuarantine from, PromptQuarantine to, long knownVersion) {
        SuspectUpdate update = from.updateFor(knownVersion).orElseThrow();
        to.applyUpdate(update, 3_000);
        return update.version();
    }
}
