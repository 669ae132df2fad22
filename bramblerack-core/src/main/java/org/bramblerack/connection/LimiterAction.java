package org.bramblerack.connection;

import org.bramblerack.request.LeafFailure;

/** An action that a {@link ReplicaLimiter} requests; actions are performed in the order returned. */
public sealed interface LimiterAction {
    /** Sends the call to the upstream. */
    record Dispatch(String callId) implements LimiterAction {}

    /** Reports to the sender that the call did not run. */
    record Refuse(String callId, LeafFailure failure) implements LimiterAction {}

    /** Cancels the call at the upstream. */
    record CancelAtUpstream(String callId) implements LimiterAction {}
}
