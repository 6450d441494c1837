package org.magnoliapick.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Compares what the callers were told with what the plain services ran. */
final class RunRecords {
    private final Map<String, Integer> mRanByNonce = new HashMap<>();
    private boolean mIsComplete = true;

    /** Reads the records of all services of a plan. */
    static RunRecords read(LoadClient client, LoadPlan plan) {
        RunRecords records = new RunRecords();
        for (String service : plan.services()) {
            Optional<byte[]> body = client.get(Address.parse(service), "/ran");
            records.add(body.orElse(new byte[0]));
        }
        return records;
    }

    private void add(byte[] body) {
        try {
            JsonNode ran = new ObjectMapper().readTree(body).path("byNonce");
            ran.fields()
                    .forEachRemaining(
                            entry ->
                                    mRanByNonce.merge(
                                            entry.getKey(),
                                            entry.getValue().asInt(),
                                            Integer::sum));
            mIsComplete &= ran.isObject();
        } catch (IOException e) {
            mIsComplete = false;
        }
    }

    /** Returns whether every service showed its records. */
    boolean isComplete() {
        return mIsComplete;
    }

    /** Enters what the records say of a request that must run once. */
    void check(String nonce, Verdict told, WorkspaceTally tally) {
        int ran = mRanByNonce.getOrDefault(nonce, 0);
        boolean isFalseRefusal = told == Verdict.NOT_RUN && ran > 0;
        boolean isMissing = told == Verdict.WHOLE && ran == 0;
        tally.addRunCheck(ran > 1, isFalseRefusal, isMissing);
    }
}
