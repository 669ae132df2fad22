package org.bramblerack.request;

import java.util.Locale;
import org.bramblerack.process.UpstreamEvidence;

/** Why a leaf attempt came to nothing. */
public enum LeafFailure {
    /** The upstream shed the call; it did not run. */
    OVERLOADED(Indication.BUSY, true),
    /** The upstream is leaving and refused the call; it did not run. */
    DRAINING(Indication.BUSY, true),
    /** The deadline passed before the call ran. */
    EXPIRED(Indication.BUSY, true),
    /** The upstream does not serve the pinned index version. */
    VERSION_GONE(Indication.NONE, true),
    /** The reply states another index version than the pinned one. */
    WRONG_VERSION(Indication.NONE, false),
    /** The reply belongs to another call or another shard. */
    MISDIRECTED(Indication.FAILING, false),
    /** The reply is cut short or corrupt. */
    TRUNCATED(Indication.FAILING, false),
    /** No connection could be made; the call did not run. */
    CONNECT_FAILED(Indication.FAILING, true),
    /** The connection was lost after the call was handed over. */
    CONNECTION_LOST(Indication.FAILING, false),
    /** No reply came in time. */
    TIMED_OUT(Indication.FAILING, false),
    /** The upstream reported a fault of its own. */
    UPSTREAM_ERROR(Indication.FAILING, false),
    /** The host that holds the connections could not be reached before the call was handed over. */
    HOLDER_UNREACHABLE(Indication.NONE, true),
    /** The host that holds the connections may not open any yet. */
    HOLDER_NOT_READY(Indication.NONE, true),
    /** The connection to the host that holds the connections was lost after the call was handed over. */
    HOLDER_LOST(Indication.NONE, false),
    /** The holder's queue could not serve the call within its deadline; it did not run. */
    QUEUE_FULL(Indication.BUSY, true),
    /** Requests like it end the upstreams that run them, so it was sent to none. */
    HARMFUL(Indication.NONE, true),
    /** The call was cancelled while it waited at the holder; it did not run. */
    CANCELLED(Indication.NONE, true);

    /** Whose fault a failure is evidence of. */
    public enum Indication {
        /** The upstream fails. */
        FAILING,
        /** The upstream lives but has no room. */
        BUSY,
        /** The failure says nothing about the upstream. */
        NONE
    }

    private final Indication indication;
    private final boolean certainlyNotRun;

    LeafFailure(Indication indication, boolean certainlyNotRun) {
        this.indication = indication;
        this.certainlyNotRun = certainlyNotRun;
    }

    /** Returns whose fault the failure is evidence of. */
    public Indication indication() {
        return indication;
    }

    /** Records in the evidence about the upstream what the failure of a call says of it. */
    void recordIn(UpstreamEvidence evidence, long nowNanos) {
        switch (indication) {
            case FAILING -> evidence.failed(nowNanos);
            case BUSY -> evidence.refused(nowNanos);
            default -> evidence.abandoned(0, nowNanos);
        }
    }

    /** Returns true if the upstream certainly did not run the call and will not. */
    public boolean isCertainlyNotRun() {
        return certainlyNotRun;
    }

    /** Returns the stable code, such as {@code version-gone}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
