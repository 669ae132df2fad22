package org.bramblerack.version;

import com.google.common.collect.ImmutableSet;

/**
 * The state that an upstream reports.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param draining true if it accepts no new work
 * @param served the shards and index versions that it serves
 */
public record UpstreamReport(boolean draining, ImmutableSet<ServedVersion> served) {}
