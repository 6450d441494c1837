package org.magnoliapick.rpc;

import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/** Writes structs to bytes and reads them back, within bounds on what a sender may make us hold. */
final class CompactBytes {
    private static final int MAX_STRING_BYTES = 1_024;

    private final TCompactProtocol.Factory mProtocol;

    /**
     * Creates a reader and writer.
     *
     * @param maxListSize the most entries that a list may have
     */
    CompactBytes(int maxListSize) {
        mProtocol = new TCompactProtocol.Factory(MAX_STRING_BYTES, maxListSize);
    }

    /** Writes a struct. */
    byte[] write(TBase<?, ?> struct) {
        try {
            return new TSerializer(mProtocol).serialize(struct);
        } catch (TException e) {
            throw new IllegalStateException("A struct could not be written to memory", e);
        }
    }

    /**
     * Fills a struct and returns it.
     *
     * @throws TException if the bytes are something else or exceed a bound
     */
    <T extends TBase<?, ?>> T read(T struct, byte[] bytes) throws TException {
        new TDeserializer(mProtocol).deserialize(struct, bytes);
        return struct;
    }
}
