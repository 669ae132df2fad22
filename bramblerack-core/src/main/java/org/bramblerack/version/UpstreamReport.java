package org.bramblerack.version;

import com.google.common.collect.ImmutableSet;

/**
 * What an upstream says of itself.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param draining true if it is leaving
 * @param served the index versions that it serves
 */
public record UpstreamReport(boolean draining, ImmutableSet<ServedVersion> served) {}
