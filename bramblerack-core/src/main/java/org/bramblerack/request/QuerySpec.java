package org.bramblerack.request;

import org.bramblerack.version.Preference;
import org.bramblerack.version.ServiceName;

/**
 * What a caller asked for, as far as the decisions of the fan-out need it.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param callIdPrefix begins the identifiers of all calls of the query; unique among all queries of all processes
 * @param service the service to query
 * @param preference what to do when the time runs out
 * @param deadlineNanos when the answer must be sealed
 */
public record QuerySpec(String callIdPrefix, ServiceName service, Preference preference, long deadlineNanos) {}
