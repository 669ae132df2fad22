package org.bramblerack.version;

import com.google.common.collect.ImmutableMap;

/**
 * What one partner declares, read from one file and applied as a whole.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param partner the partner that owns the services
 * @param services the services, by their own names
 */
public record Declaration(String partner, ImmutableMap<String, Service> services) {}
