package org.magnoliapick.rpc;

import java.util.Optional;
import org.magnoliapick.lib.InstanceId;
import org.magnoliapick.rpc.gen.Bundle;

/** Takes what other instances send. Called on the threads of the peer server. */
public interface PeerHandler {
    /** Takes a bundle whose signature and address were checked. */
    void onBundle(Bundle bundle);

    /**
     * Answers a question of another instance.
     *
     * @return the answer, or empty if the topic is unknown
     */
    Optional<byte[]> onQuery(InstanceId from, String topic, byte[] content);
}
