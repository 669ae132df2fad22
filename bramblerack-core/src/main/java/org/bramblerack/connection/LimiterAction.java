package org.bramblerack.connection;

import org.bramblerack.request.LeafFailure;

/** What a gate wants done, in the order given. */
public sealed interface LimiterAction {
    /** Send the call to the upstream. */
    record Dispatch(String callId) implements LimiterAction {}

    /** Tell the sender that the call was not run. */
    record Refuse(String callId, LeafFailure failure) implements LimiterAction {}

    /** Tell the upstream to stop working on the call. */
    record CancelAtUpstream(String callId) implements LimiterAction {}
}
