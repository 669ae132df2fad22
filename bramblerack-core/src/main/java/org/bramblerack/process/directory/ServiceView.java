package org.bramblerack.process.directory;

import com.google.common.collect.ImmutableMap;
import org.bramblerack.connection.HolderAssignment;
import org.bramblerack.request.ServiceTables;
import org.bramblerack.version.Service;
import org.bramblerack.version.UpstreamName;

/**
 * A declared service with its tables and the holders of its upstreams.
 *
 * <p>Immutable; the tables are safe for use by many threads.
 *
 * @param service the declaration
 * @param tables the shared tables, which are kept when the declaration changes
 * @param assignments the holders of each upstream's connections
 */
public record ServiceView(
        Service service, ServiceTables tables, ImmutableMap<UpstreamName, HolderAssignment> assignments) {}
