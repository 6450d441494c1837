package org.magnoliapick.rpc;

import org.magnoliapick.lib.InstanceId;

/**
 * Where another instance's peer service listens.
 *
 * @param id the instance
 * @param host its IP number
 * @param port its TCP port
 */
public record PeerAddress(InstanceId id, String host, int port) {}
