package org.bramblerack.daemon.peer;

/**
 * A request to another host that got no reply.
 *
 * <p>Immutable and safe for use by many threads.
 */
public final class PeerFailure extends Exception {
    private static final long serialVersionUID = 1L;

    /** Whether the request was sent. */
    public enum Kind {
        /** The request was not sent. */
        NOT_SENT,
        /** The request was sent, and the connection was lost or the request timed out. */
        SENT
    }

    private final Kind kind;

    /** Creates a failure without a stack trace, as it is an ordinary event. */
    public PeerFailure(Kind kind, String message) {
        super(message, null, false, false);
        this.kind = kind;
    }

    /** Returns whether the request was sent. */
    public Kind kind() {
        return kind;
    }
}
