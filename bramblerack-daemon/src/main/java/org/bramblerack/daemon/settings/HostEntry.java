package org.bramblerack.daemon.settings;

import com.google.common.net.HostAndPort;

/**
 * One host of the system, as every host's settings list it.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param name the host's name
 * @param zone its availability zone
 * @param peerAddress where it listens for other hosts
 * @param control true if it takes part in the agreement
 */
public record HostEntry(String name, String zone, HostAndPort peerAddress, boolean control) {}
