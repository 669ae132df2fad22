package org.bramblerack.daemon.host;

import com.google.common.collect.ImmutableSet;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;

/** Reads the platform's host list from a file. Immutable and safe for use by many threads. */
final class FilePlatformList implements PlatformList {
    private final Vertx vertx;
    private final String file;

    FilePlatformList(Vertx vertx, String file) {
        this.vertx = vertx;
        this.file = file;
    }

    @Override
    public Uni<ImmutableSet<String>> leaving() {
        return vertx.fileSystem().readFile(file).map(text -> PlatformList.parse(text.toString()));
    }

    @Override
    public void close() {
        // There are no open resources.
    }
}
