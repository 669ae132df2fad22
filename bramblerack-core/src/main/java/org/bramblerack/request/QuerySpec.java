package org.bramblerack.request;

import org.bramblerack.version.Preference;
import org.bramblerack.version.ServiceName;

/**
 * The parameters of a query that its fan-out depends on.
 *
 * <p>Immutable and thread-safe.
 *
 * @param callIdPrefix the prefix of the call identifiers, unique among all queries of all processes
 * @param service the service to query
 * @param preference whether to answer with partial coverage at the deadline or to refuse
 * @param deadlineNanos when the answer must be finalized
 */
public record QuerySpec(String callIdPrefix, ServiceName service, Preference preference, long deadlineNanos) {}
