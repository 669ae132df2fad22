package org.bramblerack.daemon.control;

import java.io.IOException;

/**
 * The files of the control role cannot be trusted or written any more. It ends the role; it is never retried.
 *
 * <p>Immutable and safe for use by many threads.
 */
public final class DiskFault extends IOException {
    private static final long serialVersionUID = 1L;

    /** Creates a fault whose message names the file and the remedy. */
    public DiskFault(String message, Throwable cause) {
        super(message, cause);
    }

    /** Creates a fault whose message names the file and the remedy. */
    public DiskFault(String message) {
        super(message);
    }
}
