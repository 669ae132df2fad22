package org.bramblerack.request;

import com.google.protobuf.ByteString;
import org.bramblerack.version.UpstreamName;

/** An action returned by a {@link OnceOnlyRequest}, to be performed in order. */
public sealed interface OnceOnlyAction {
    /** Propose the claim to the control hosts. */
    record Claim() implements OnceOnlyAction {}

    /**
     * Send the request to an upstream.
     *
     * @param callId the identifier that the upstream must return with its reply
     * @param deadlineNanos the time after which the upstream must not start the request
     */
    record Dispatch(String callId, UpstreamName upstream, long deadlineNanos) implements OnceOnlyAction {}

    /** Cancel the call; its outcome still arrives as a failure or a reply. */
    record CancelDispatch(String callId, UpstreamName upstream) implements OnceOnlyAction {}

    /** Record that the request ran, retrying until the replicated state accepts it. */
    record RecordRan(ByteString answer) implements OnceOnlyAction {}

    /** Record that this attempt did not run and never will, retrying until the replicated state accepts it. */
    record RecordNotRun(String reason) implements OnceOnlyAction {}

    /** Record that the outcome is unknown, retrying until the replicated state accepts it. */
    record RecordUnknown(String reason) implements OnceOnlyAction {}

    /** Call {@link OnceOnlyRequest#wake} at the given time. */
    record Wake(long atNanos) implements OnceOnlyAction {}

    /** Send the caller the answer of the request; replayed if it was recorded by an earlier attempt. */
    record DeliverRan(ByteString answer, boolean replayed) implements OnceOnlyAction {}

    /** Refuse the request. */
    record Refuse(Refusal refusal) implements OnceOnlyAction {}
}
