package org.bramblerack.daemon.settings;

import java.util.Optional;

/**
 * The source of the platform's list of live and leaving hosts: a file, a URL or none.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param file the path, if the list is a file
 * @param url the URL, if the list is served over HTTP
 */
public record PlatformSource(Optional<String> file, Optional<String> url) {
    /** No source. */
    public static final PlatformSource NONE = new PlatformSource(Optional.empty(), Optional.empty());
}
