package org.bramblerack.request;

import java.util.Locale;

/** Every kind of refusal; the code of each is stable and part of the callers' interface. */
public enum RefusalKind {
    /** The request is malformed. */
    BAD_REQUEST(400, RunState.NOT_RUN, false),
    /** The request is larger than the limit. */
    TOO_LARGE(413, RunState.NOT_RUN, false),
    /** No such path, or no such method on it. */
    UNKNOWN_PATH(404, RunState.NOT_RUN, false),
    /** The service is not declared. */
    UNKNOWN_SERVICE(404, RunState.NOT_RUN, false),
    /** The class is not declared for the service. */
    UNKNOWN_CLASS(404, RunState.NOT_RUN, false),
    /** The once-only operation is not declared for the service. */
    UNKNOWN_OPERATION(404, RunState.NOT_RUN, false),
    /** No such once-only request is claimed so far; one that is on its way may still run. */
    UNKNOWN_REQUEST(404, RunState.MAY_HAVE_RUN, true),
    /** The agreed state cannot be read now. */
    READ_UNAVAILABLE(503, RunState.MAY_HAVE_RUN, true),
    /** The host has no configuration, or no index version is known, yet. */
    NOT_READY(503, RunState.NOT_RUN, true),
    /** The host or the upstreams have no room within the deadline. */
    OVERLOADED(503, RunState.NOT_RUN, true),
    /** The time left cannot suffice. */
    DEADLINE_TOO_SHORT(504, RunState.NOT_RUN, true),
    /** The host is stopping. */
    STOPPING(503, RunState.NOT_RUN, true),
    /** Some shard did not answer, and the class prefers coverage. */
    INCOMPLETE(503, RunState.MAY_HAVE_RUN, true),
    /** No shard answered in time. */
    NO_ANSWER(504, RunState.MAY_HAVE_RUN, true),
    /** No quorum of control hosts confirmed the claim. */
    NO_QUORUM(503, RunState.NOT_RUN, true),
    /** Requests like it ended the upstreams that ran them, so that it was sent to none. */
    HARMFUL(503, RunState.NOT_RUN, true),
    /** The upstream refused the once-only request truthfully. */
    UPSTREAM_REFUSED(503, RunState.NOT_RUN, true),
    /** The request was handed to an upstream and its outcome is not known. */
    OUTCOME_UNKNOWN(504, RunState.MAY_HAVE_RUN, false),
    /** The same request is being run through another attempt. */
    IN_PROGRESS(409, RunState.MAY_HAVE_RUN, true),
    /** The request identifier was used before with another body or operation. */
    REQUEST_MISMATCH(409, RunState.NOT_RUN, false),
    /** The request is older than its outcome is kept. */
    EXPIRED(410, RunState.MAY_HAVE_RUN, false),
    /** The credential is missing or wrong. */
    UNAUTHORIZED(401, RunState.NOT_RUN, false),
    /** The declaration has faults. */
    INVALID_DECLARATION(422, RunState.NOT_RUN, false),
    /** Another change was accepted first. */
    REVISION_CONFLICT(409, RunState.NOT_RUN, false),
    /** The change may or may not have been accepted: ask again with the same change identifier. */
    CHANGE_UNKNOWN(504, RunState.MAY_HAVE_RUN, true),
    /** A fault of the program itself. */
    INTERNAL(500, RunState.MAY_HAVE_RUN, false);

    private final int httpStatus;
    private final RunState runState;
    private final boolean worthRetrying;

    RefusalKind(int httpStatus, RunState runState, boolean worthRetrying) {
        this.httpStatus = httpStatus;
        this.runState = runState;
        this.worthRetrying = worthRetrying;
    }

    /** Returns the stable code, such as {@code not-ready}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the HTTP status that goes with the kind. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns whether a request that is refused so ran. */
    public RunState runState() {
        return runState;
    }

    /** Returns true if the same request may succeed when it is sent again. */
    public boolean isRetryable() {
        return worthRetrying;
    }
}
