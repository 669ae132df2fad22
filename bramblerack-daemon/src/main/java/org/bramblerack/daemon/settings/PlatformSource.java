package org.bramblerack.daemon.settings;

import java.util.Optional;

/**
 * Where the platform's list of live and leaving hosts is read.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param file a file, if the list is a file
 * @param url an address, if the list is served over HTTP
 */
public record PlatformSource(Optional<String> file, Optional<String> url) {
    /** No list. */
    public static final PlatformSource NONE = new PlatformSource(Optional.empty(), Optional.empty());
}
