package org.magnoliapick.claim;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** Maps keys to shards and shards to log streams. */
public final class ClaimShards {
    private static final String STREAM_PREFIX = "claims-";

    private ClaimShards() {}

    /**
     * Returns the shard of a key; the result is the same on every instance.
     *
     * @param shards the number of shards, at least 1; all instances must use the same number
     */
    public static int shardOf(ClaimKey key, int shards) {
        CRC32C checksum = new CRC32C();
        checksum.update(key.workspace().value().getBytes(StandardCharsets.UTF_8));
        checksum.update(0);
        checksum.update(key.key().getBytes(StandardCharsets.UTF_8));
        return (int) (checksum.getValue() % shards);
    }

    /** Returns the name of the log stream of a shard. */
    public static String streamOf(int shard) {
        return STREAM_PREFIX + shard;
    }
}
