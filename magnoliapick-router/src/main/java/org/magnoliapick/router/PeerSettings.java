package org.magnoliapick.router;

import jakarta.validation.Valid;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import jakarta.validation.constraints.NotBlank;
import jakarta.validation.constraints.NotEmpty;
import jakarta.validation.constraints.NotNull;
import jakarta.validation.constraints.Size;
import java.util.List;
import org.magnoliapick.rpc.PeerKey;

/**
 * How an entry instance talks with the others.
 *
 * @param port the TCP port that it listens on
 * @param keys the keys it accepts; it signs with the first
 */
public record PeerSettings(@Min(0) @Max(65535) int port, @NotNull @NotEmpty @Valid List<Key> keys) {
    /**
     * A key shared by all entry instances.
     *
     * @param id its name
     * @param secret its secret
     */
    public record Key(
            @NotBlank String id, @NotNull @Size(min = PeerKey.MIN_SECRET_CHARS) String secret) {
        /** Names the key and hides the secret. */
        @Override
        public String toString() {
            return "Key[" + id + "]";
        }
    }

    /** Returns the keys in the form that the transport takes. */
    public List<PeerKey> peerKeys() {
        return keys.stream().map(key -> new PeerKey(key.id(), key.secret())).toList();
    }
}
