package org.bramblerack.version;

import com.google.common.collect.ImmutableMap;

/**
 * The services that one partner declares, read from one file and applied atomically.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param partner the partner that owns the services
 * @param services the services, by their names within the partner
 */
public record Declaration(String partner, ImmutableMap<String, Service> services) {}
