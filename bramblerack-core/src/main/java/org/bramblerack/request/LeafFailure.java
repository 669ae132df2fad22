package org.bramblerack.request;

import java.util.Locale;
import org.bramblerack.process.UpstreamEvidence;

/** Why a call to an upstream failed. The names are sent between hosts and the codes appear in metrics. */
public enum LeafFailure {
    /** The upstream refused the call because of overload; it did not run. */
    OVERLOADED(Indication.BUSY, true),
    /** The upstream is draining and refused the call; it did not run. */
    DRAINING(Indication.BUSY, true),
    /** The deadline passed before the call ran. */
    EXPIRED(Indication.BUSY, true),
    /** The upstream does not serve the pinned index version. */
    VERSION_GONE(Indication.NONE, true),
    /** The reply is of another index version than the pinned one. */
    WRONG_VERSION(Indication.NONE, false),
    /** The reply belongs to another call or shard. */
    MISDIRECTED(Indication.FAILING, false),
    /** The payload is truncated or corrupt. */
    TRUNCATED(Indication.FAILING, false),
    /** No connection could be established; the call did not run. */
    CONNECT_FAILED(Indication.FAILING, true),
    /** The connection was lost after the call was sent. */
    CONNECTION_LOST(Indication.FAILING, false),
    /** No reply arrived in time. */
    TIMED_OUT(Indication.FAILING, false),
    /** The upstream reported an internal error. */
    UPSTREAM_ERROR(Indication.FAILING, false),
    /** The holder, the host that owns the connections to the upstream, could not be reached; the call did not run. */
    HOLDER_UNREACHABLE(Indication.NONE, true),
    /** The holder is not yet permitted to open connections; the call did not run. */
    HOLDER_NOT_READY(Indication.NONE, true),
    /** The connection to the holder was lost after the call was sent. */
    HOLDER_LOST(Indication.NONE, false),
    /** The holder's queue could not serve the call before its deadline; it did not run. */
    QUEUE_FULL(Indication.BUSY, true),
    /** Similar requests terminated the upstreams that ran them; the call was not sent. */
    HARMFUL(Indication.NONE, true),
    /** The call was cancelled while queued at the holder; it did not run. */
    CANCELLED(Indication.NONE, true);

    /** What a failure indicates about the health of the upstream. */
    public enum Indication {
        /** The upstream is failing. */
        FAILING,
        /** The upstream is healthy but has no capacity. */
        BUSY,
        /** The failure is no evidence about the upstream. */
        NONE
    }

    private final Indication indication;
    private final boolean certainlyNotRun;

    LeafFailure(Indication indication, boolean certainlyNotRun) {
        this.indication = indication;
        this.certainlyNotRun = certainlyNotRun;
    }

    public Indication indication() {
        return indication;
    }

    /** Records the failed call in the evidence about its upstream. */
    void recordIn(UpstreamEvidence evidence, long nowNanos) {
        switch (indication) {
            case FAILING -> evidence.failed(nowNanos);
            case BUSY -> evidence.refused(nowNanos);
            default -> evidence.abandoned(0, nowNanos);
        }
    }

    /** Returns true if the upstream certainly has not run the call and never will. */
    public boolean isCertainlyNotRun() {
        return certainlyNotRun;
    }

    /** Returns the stable code, such as {@code version-gone}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
