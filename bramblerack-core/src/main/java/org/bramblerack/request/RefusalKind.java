package org.bramblerack.request;

import java.util.Locale;

/** The kinds of refusal. Their codes are part of the API and must not change. */
public enum RefusalKind {
    /** The request is malformed. */
    BAD_REQUEST(400, RunState.NOT_RUN, false),
    /** The request is larger than the limit. */
    TOO_LARGE(413, RunState.NOT_RUN, false),
    /** The path does not exist or does not support the method. */
    UNKNOWN_PATH(404, RunState.NOT_RUN, false),
    /** The service is not declared. */
    UNKNOWN_SERVICE(404, RunState.NOT_RUN, false),
    /** The class is not declared for the service. */
    UNKNOWN_CLASS(404, RunState.NOT_RUN, false),
    /** The once-only operation is not declared for the service. */
    UNKNOWN_OPERATION(404, RunState.NOT_RUN, false),
    /** No once-only request with this identifier has been claimed; one still in transit may run later. */
    UNKNOWN_REQUEST(404, RunState.MAY_HAVE_RUN, true),
    /** The replicated state is currently not readable. */
    READ_UNAVAILABLE(503, RunState.MAY_HAVE_RUN, true),
    /** The host has no configuration or knows no index version yet. */
    NOT_READY(503, RunState.NOT_RUN, true),
    /** The host or the upstreams have no capacity before the deadline. */
    OVERLOADED(503, RunState.NOT_RUN, true),
    /** The time until the deadline is too short to run the request. */
    DEADLINE_TOO_SHORT(504, RunState.NOT_RUN, true),
    /** The host is stopping. */
    STOPPING(503, RunState.NOT_RUN, true),
    /** At least one shard did not answer, and the class prefers coverage. */
    INCOMPLETE(503, RunState.MAY_HAVE_RUN, true),
    /** No shard answered in time. */
    NO_ANSWER(504, RunState.MAY_HAVE_RUN, true),
    /** No quorum of control hosts confirmed the claim. */
    NO_QUORUM(503, RunState.NOT_RUN, true),
    /** Similar requests terminated the upstreams that ran them, so it was not sent. */
    HARMFUL(503, RunState.NOT_RUN, true),
    /** The upstream refused the once-only request without running it. */
    UPSTREAM_REFUSED(503, RunState.NOT_RUN, true),
    /** The request was sent to an upstream and its outcome is unknown. */
    OUTCOME_UNKNOWN(504, RunState.MAY_HAVE_RUN, false),
    /** Another attempt is running the same request. */
    IN_PROGRESS(409, RunState.MAY_HAVE_RUN, true),
    /** The request identifier was already used with another body or operation. */
    REQUEST_MISMATCH(409, RunState.NOT_RUN, false),
    /** The request is older than the retention period of its outcome. */
    EXPIRED(410, RunState.MAY_HAVE_RUN, false),
    /** The credential is missing or wrong. */
    UNAUTHORIZED(401, RunState.NOT_RUN, false),
    /** The declaration failed validation. */
    INVALID_DECLARATION(422, RunState.NOT_RUN, false),
    /** Another change was accepted first. */
    REVISION_CONFLICT(409, RunState.NOT_RUN, false),
    /** The change may have been accepted; resend it with the same change identifier. */
    CHANGE_UNKNOWN(504, RunState.MAY_HAVE_RUN, true),
    /** An internal error. */
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

    public int httpStatus() {
        return httpStatus;
    }

    /** Returns whether a request refused with this kind ran. */
    public RunState runState() {
        return runState;
    }

    /** Returns true if the same request may succeed when it is sent again. */
    public boolean isRetryable() {
        return worthRetrying;
    }
}
