package org.magnoliapick.rpc;

import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.magnoliapick.rpc.gen.Signed;

/**
 * Signs messages with the first of the configured keys and accepts those of any of them, so that a
 * key is rolled by adding the new one everywhere, moving it to the front, and removing the old one.
 */
public final class PeerSigner {
    private static final String ALGORITHM = "HmacSHA256";

    private final PeerKey mSigningKey;
    private final Map<String, PeerKey> mKeys = new LinkedHashMap<>();

    /**
     * Creates a signer.
     *
     * @param keys the accepted keys, the one to sign with first
     * @throws IllegalArgumentException if there is no key
     */
    public PeerSigner(List<PeerKey> keys) {
        if (keys.isEmpty()) {
            throw new IllegalArgumentException("At least one peer key is needed");
        }
        mSigningKey = keys.get(0);
        for (PeerKey key : keys) {
            mKeys.put(key.id(), key);
        }
    }

    /** Wraps a message. */
    public Signed sign(TBase<?, ?> message) throws TException {
        byte[] payload = new TSerializer(new TCompactProtocol.Factory()).serialize(message);
        byte[] mac = macOf(mSigningKey, payload);
        return new Signed(mSigningKey.id(), ByteBuffer.wrap(payload), ByteBuffer.wrap(mac));
    }

    /**
     * Reads a message into the given struct.
     *
     * @return the struct, or empty if the key is unknown, the content was changed, or it cannot be
     *     decoded
     */
    public <T extends TBase<?, ?>> Optional<T> open(Signed signed, T target) {
        PeerKey key = mKeys.get(signed.getKeyId());
        if (key == null) {
            return Optional.empty();
        }
        byte[] payload = signed.getPayload();
        if (!MessageDigest.isEqual(macOf(key, payload), signed.getMac())) {
            return Optional.empty();
        }
        try {
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(target, payload);
            return Optional.of(target);
        } catch (TException e) {
            return Optional.empty();
        }
    }

    private static byte[] macOf(PeerKey key, byte[] payload) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(key.secretBytes(), ALGORITHM));
            return mac.doFinal(payload);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("This Java runtime has no " + ALGORITHM, e);
        }
    }
}
