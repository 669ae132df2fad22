package org.bramblerack.version;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The full name of a service: its partner and its own name, written {@code partner/service}.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param partner the partner that declares the service
 * @param service the name within that partner
 */
public record ServiceName(String partner, String service) implements Comparable<ServiceName> {
    /** Rejects parts that are empty or contain a slash. */
    public ServiceName {
        checkArgument(!partner.isEmpty() && partner.indexOf('/') < 0, "bad partner name: %s", partner);
        checkArgument(!service.isEmpty() && service.indexOf('/') < 0, "bad service name: %s", service);
    }

    /**
     * Parses the form {@code partner/service}.
     *
     * @throws IllegalArgumentException if the text has another form
     */
    public static ServiceName parse(String text) {
        int slash = text.indexOf('/');
        checkArgument(slash > 0, "not of the form partner/service: %s", text);
        return new ServiceName(text.substring(0, slash), text.substring(slash + 1));
    }

    @Override
    public int compareTo(ServiceName other) {
        int byPartner = partner.compareTo(other.partner);
        return byPartner != 0 ? byPartner : service.compareTo(other.service);
    }

    @Override
    public String toString() {
        return partner + "/" + service;
    }
}
