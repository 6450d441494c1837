package org.magnoliapick.standin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A prefix cache of limited size, least recently used first out. The hash of a block is the first
 * eight bytes of the SHA-256 of the prompt's UTF-8 bytes up to the block's end.
 */
final class PrefixCache {
    /** Bytes of the prompt in one block. */
    static final int BLOCK_BYTES = 256;

    private final EngineOptions mOptions;
    private final LinkedHashMap<Long, Boolean> mBlocks = new LinkedHashMap<>(16, 0.75f, true);
    private final List<Event> mEvents = new ArrayList<>();

    private record Event(long sequence, long atMillis, long hash, boolean isStored) {}

    PrefixCache(EngineOptions options) {
        mOptions = options;
    }

    /** Takes a prompt in and returns how many bytes of its start were there already. */
    synchronized int take(String prompt) {
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        MessageDigest digest = newDigest();
        int hitBytes = 0;
        for (int end = BLOCK_BYTES; end <= bytes.length; end += BLOCK_BYTES) {
            digest.update(bytes, end - BLOCK_BYTES, BLOCK_BYTES);
            boolean isHit = touch(hashOf(digest));
            boolean isRun = hitBytes == end - BLOCK_BYTES;
            hitBytes = isHit && isRun ? end : hitBytes;
        }
        return hitBytes;
    }

    private boolean touch(long hash) {
        if (mBlocks.get(hash) != null) {
            return true;
        }
        mBlocks.put(hash, Boolean.TRUE);
        publish(hash, true);
        if (mBlocks.size() > mOptions.mCacheBlocks) {
            evictEldest();
        }
        return false;
    }

    private void evictEldest() {
        Iterator<Map.Entry<Long, Boolean>> eldest = mBlocks.entrySet().iterator();
        long hash = eldest.next().getKey();
        eldest.remove();
        publish(hash, false);
    }

    private void publish(long hash, boolean isStored) {
        mEvents.add(
                new Event(mEvents.size() + 1L, mOptions.mNowMillis.getAsLong(), hash, isStored));
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private static long hashOf(MessageDigest digest) {
        try {
            MessageDigest copy = (MessageDigest) digest.clone();
            return ByteBuffer.wrap(copy.digest()).getLong();
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException(e);
        }
    }

    synchronized double usedRatio() {
        return (double) mBlocks.size() / mOptions.mCacheBlocks;
    }

    /** Returns the events after a number, without the latest ones and with gaps. */
    synchronized Map<String, Object> eventsAfter(long after) {
        List<Long> stored = new ArrayList<>();
        List<Long> evicted = new ArrayList<>();
        long last = after;
        long untilMillis = mOptions.mNowMillis.getAsLong() - mOptions.mCacheEventDelayMillis;
        int from = (int) Math.max(0, Math.min(after, mEvents.size()));
        for (Event event : mEvents.subList(from, mEvents.size())) {
            if (event.atMillis() > untilMillis) {
                break;
            }
            last = event.sequence();
            if (!isGap(event)) {
                (event.isStored() ? stored : evicted).add(event.hash());
            }
        }
        return Map.of("lastSequence", last, "stored", stored, "evicted", evicted);
    }

    private boolean isGap(Event event) {
        int every = mOptions.mCacheEventGapEvery;
        return every > 0 && event.sequence() % every == 0;
    }
}
