package org.magnoliapick.claim;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.WorkspaceId;

/** Encodes and decodes claim batches as JSON. */
public final class ClaimCodec {
    /** The maximum number of entries in one batch. */
    public static final int MAX_ENTRIES = 2_000;

    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
                    .serializationInclusion(JsonInclude.Include.NON_NULL)
                    .build();
    private static final ObjectReader READER = MAPPER.readerFor(WireBatch.class);

    private ClaimCodec() {}

    /** Returns the JSON encoding of a batch. */
    public static byte[] encode(ClaimBatch batch) {
        List<WireEntry> entries = new ArrayList<>();
        for (ClaimEntry entry : batch.entries()) {
            entries.add(WireEntry.of(entry));
        }
        try {
            return MAPPER.writeValueAsBytes(new WireBatch(entries));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("Cannot encode the claim batch as JSON", e);
        }
    }

    /**
     * Decodes a batch. The result depends on the bytes alone, so every reader accepts and rejects
     * the same records.
     */
    public static ClaimDecoding decode(byte[] bytes) {
        try {
            WireBatch wire = READER.readValue(bytes);
            return wire == null
                    ? new ClaimDecoding.Rejected("no content")
                    : new ClaimDecoding.Decoded(wire.toBatch());
        } catch (IOException | IllegalArgumentException | NullPointerException e) {
            return new ClaimDecoding.Rejected(e.getClass().getSimpleName());
        }
    }

    private record WireBatch(@JsonProperty("entries") List<WireEntry> entries) {
        ClaimBatch toBatch() {
            if (entries == null || entries.size() > MAX_ENTRIES) {
                throw new IllegalArgumentException(
                        "claim batch has no entry list or too many entries");
            }
            return new ClaimBatch(entries.stream().map(WireEntry::toEntry).toList());
        }
    }

    /** An entry on the wire: the end of a claim if it has an outcome, otherwise a claim. */
    private record WireEntry(
            @JsonProperty("w") String workspace,
            @JsonProperty("k") String key,
            @JsonProperty("c") String claim,
            @JsonProperty("i") String instance,
            @JsonProperty("d") String digest,
            @JsonProperty("o") ClaimOutcome outcome) {
        static WireEntry of(ClaimEntry entry) {
            String workspace = entry.key().workspace().value();
            String key = entry.key().key();
            String id = entry.claim().value();
            if (entry instanceof ClaimEntry.Claim claim) {
                String instance = claim.instance().value();
                return new WireEntry(workspace, key, id, instance, claim.digest(), null);
            }
            ClaimOutcome outcome = ((ClaimEntry.Ended) entry).outcome();
            return new WireEntry(workspace, key, id, null, null, outcome);
        }

        ClaimEntry toEntry() {
            ClaimKey claimKey = new ClaimKey(new WorkspaceId(workspace), key);
            AttemptId id = new AttemptId(claim);
            if (outcome != null) {
                return new ClaimEntry.Ended(claimKey, id, outcome);
            }
            return new ClaimEntry.Claim(claimKey, id, new InstanceId(instance), digest);
        }
    }
}
