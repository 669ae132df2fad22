package org.bramblerack.daemon.control;

import java.io.IOException;

/**
 * A file of the control role cannot be read or written, or is corrupt.
 *
 * <p>Immutable and safe for use by many threads.
 */
public final class DiskFault extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message names the file and the remedy. */
    public DiskFault(String message, Throwable cause) {
        super(message, cause);
    }

    /** Creates an exception whose message names the file and the remedy. */
    public DiskFault(String message) {
        super(message);
    }
}
