package org.bramblerack.daemon.settings;

import com.google.common.net.HostAndPort;

/**
 * A host as listed in the settings of every host.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param name the host's name
 * @param zone its availability zone
 * @param peerAddress the address on which it listens for other hosts
 * @param control true if it is a voter of the agreement protocol
 */
public record HostEntry(String name, String zone, HostAndPort peerAddress, boolean control) {}
