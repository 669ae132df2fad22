package org.bramblerack.request;

import com.google.protobuf.ByteString;
import org.bramblerack.version.UpstreamName;

/** What a once-only request wants done, in the order given. */
public sealed interface OnceOnlyAction {
    /** Ask the control hosts to agree on the claim. */
    record Claim() implements OnceOnlyAction {}

    /**
     * Hand the request to an upstream.
     *
     * @param callId the identifier that the upstream must give back
     * @param upstream the upstream
     * @param deadlineNanos when the upstream must not begin any more
     */
    record Dispatch(String callId, UpstreamName upstream, long deadlineNanos) implements OnceOnlyAction {}

    /** Cancel the call; its failure or reply still tells what came of it. */
    record CancelDispatch(String callId, UpstreamName upstream) implements OnceOnlyAction {}

    /** Record that the request ran, and keep trying until that is agreed. */
    record RecordRan(ByteString answer) implements OnceOnlyAction {}

    /** Record that this attempt did not run and never will, and keep trying until that is agreed. */
    record RecordNotRun(String reason) implements OnceOnlyAction {}

    /** Record that the outcome is unknown, and keep trying until that is agreed. */
    record RecordUnknown(String reason) implements OnceOnlyAction {}

    /** Call {@link OnceOnlyRequest#wake} at a time. */
    record Wake(long atNanos) implements OnceOnlyAction {}

    /** Tell the caller that the request ran, with its answer. */
    record DeliverRan(ByteString answer, boolean replayed) implements OnceOnlyAction {}

    /** Refuse the request. */
    record Refuse(Refusal refusal) implements OnceOnlyAction {}
}
