package org.magnoliapick.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.magnoliapick.lib.AttemptId;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.lib.WorkspaceId;

final class ClaimCodecTest {
    private static final ClaimKey KEY = new ClaimKey(new WorkspaceId("w"), "draw-7");
    private static final ClaimBatch BATCH =
            new ClaimBatch(
                    List.of(
                            new ClaimEntry.Ended(KEY, new AttemptId("b"), ClaimOutcome.NOT_RUN),
                            new ClaimEntry.Claim(
                                    KEY, new AttemptId("a"), new InstanceId("r1"), "digest"),
                            new ClaimEntry.Ended(KEY, new AttemptId("a"), ClaimOutcome.DONE)));

    @Example
    void decodedBatchEqualsTheEncodedBatch() {
        byte[] bytes = ClaimCodec.encode(BATCH);

        assertThat(ClaimCodec.decode(bytes)).isEqualTo(new ClaimDecoding.Decoded(BATCH));
    }

    @Example
    void batchesWithMissingPartsAreRejected() {
        for (String text :
                List.of(
                        "",
                        "null",
                        "{}",
                        "{\"entries\":null}",
                        "{\"entries\":[null]}",
                        "{\"entries\":[{}]}",
                        "{\"entries\":[{\"w\":\"w\",\"k\":\"k\",\"c\":\"c\"}]}",
                        "{\"entries\":[]}{}",
                        "{\"entries\":[{\"w\":\"w\",\"k\":\" \",\"c\":\"c\",\"o\":\"done\"}]}",
                        "{\"entries\":[{\"w\":\"w\",\"k\":\"k\",\"c\":\"c\",\"o\":\"maybe\"}]}")) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            assertThat(ClaimCodec.decode(bytes))
                    .as(text)
                    .isInstanceOf(ClaimDecoding.Rejected.class);
        }
    }

    @Property(seed = "20261204", tries = 1000)
    void decodingArbitraryBytesNeverThrows(@ForAll byte[] bytes) {
        assertThat(ClaimCodec.decode(bytes)).isNotNull();
    }

    @Property(seed = "20261204", tries = 1000)
    void decodingADamagedBatchNeverThrows(
            @ForAll @IntRange(max = 150) int position, @ForAll byte damage) {
        byte[] bytes = ClaimCodec.encode(BATCH);
        bytes[position % bytes.length] = damage;
        assertThat(ClaimCodec.decode(bytes)).isNotNull();
    }
}
