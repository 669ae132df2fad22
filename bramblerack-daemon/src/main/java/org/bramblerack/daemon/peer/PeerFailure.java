package org.bramblerack.daemon.peer;

/**
 * Why a request to another host got no reply.
 *
 * <p>Immutable and safe for use by many threads.
 */
public final class PeerFailure extends Exception {
    private static final long serialVersionUID = 1L;

    /** What is known of the request. */
    public enum Kind {
        /** It was never handed over. */
        NOT_SENT,
        /** It was handed over, and the connection was lost or the time ran out. */
        SENT
    }

    private final Kind kind;

    /** Creates a failure; it carries no stack trace, as it is an ordinary event. */
    public PeerFailure(Kind kind, String message) {
        super(message, null, false, false);
        this.kind = kind;
    }

    /** Returns what is known of the request. */
    public Kind kind() {
        return kind;
    }
}
