package org.bramblerack.request;

import java.util.Locale;
import org.bramblerack.process.UpstreamEvidence;

/** Why a leaf attempt came to nothing. */
public enum LeafFailure {
    /** The upstream shed the call; it did not run. */
    OVERLOADED(Blame.BUSY, true),
    /** The upstream is leaving and refused the call; it did not run. */
    DRAINING(Blame.BUSY, true),
    /** The deadline passed before the call ran. */
    EXPIRED(Blame.BUSY, true),
    /** The upstream does not serve the pinned index version. */
    VERSION_GONE(Blame.NOBODY, true),
    /** The reply states another index version than the pinned one. */
    WRONG_VERSION(Blame.NOBODY, false),
    /** The reply belongs to another call or another shard. */
    MISDIRECTED(Blame.UPSTREAM, false),
    /** The reply is cut short or corrupt. */
    TRUNCATED(Blame.UPSTREAM, false),
    /** No connection could be made; the call did not run. */
    CONNECT_FAILED(Blame.UPSTREAM, true),
    /** The connection was lost after the call was handed over. */
    CONNECTION_LOST(Blame.UPSTREAM, false),
    /** No reply came in time. */
    TIMED_OUT(Blame.UPSTREAM, false),
    /** The upstream reported a fault of its own. */
    UPSTREAM_ERROR(Blame.UPSTREAM, false),
    /** The host that holds the connections could not be reached before the call was handed over. */
    HOLDER_UNREACHABLE(Blame.NOBODY, true),
    /** The host that holds the connections may not open any yet. */
    HOLDER_NOT_READY(Blame.NOBODY, true),
    /** The connection to the host that holds the connections was lost after the call was handed over. */
    HOLDER_LOST(Blame.NOBODY, false),
    /** The holder's queue could not serve the call within its deadline; it did not run. */
    QUEUE_FULL(Blame.BUSY, true),
    /** Requests like it end the upstreams that run them, so it was sent to none. */
    HARMFUL(Blame.NOBODY, true),
    /** The call was cancelled while it waited at the holder; it did not run. */
    CANCELLED(Blame.NOBODY, true);

    /** Whose fault a failure is evidence of. */
    public enum Blame {
        /** The upstream fails. */
        UPSTREAM,
        /** The upstream lives but has no room. */
        BUSY,
        /** The failure says nothing about the upstream. */
        NOBODY
    }

    private final Blame blame;
    private final boolean certainlyNotRun;

    LeafFailure(Blame blame, boolean certainlyNotRun) {
        this.blame = blame;
        this.certainlyNotRun = certainlyNotRun;
    }

    /** Returns whose fault the failure is evidence of. */
    public Blame blame() {
        return blame;
    }

    /** Records in the evidence about the upstream what the failure of a call says of it. */
    void recordIn(UpstreamEvidence evidence, long nowNanos) {
        switch (blame) {
            case UPSTREAM -> evidence.failed(nowNanos);
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
