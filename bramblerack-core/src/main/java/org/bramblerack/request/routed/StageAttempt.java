package org.bramblerack.request.routed;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

/**
 * Some shards of a query that another host asks on behalf of this one, because it is near their leafs. Guarded by the
 * query that it belongs to; compared by identity.
 */
public final class StageAttempt {
    private final String host;
    private final ImmutableList<Integer> shards;
    private final long silenceTimeoutNanos;
    private boolean over;
    private boolean responded;
    private boolean abandoned;

    /**
     * Creates an attempt that is not yet made.
     *
     * @param host the host that is to ask
     * @param shards the numbers of the shards, at least one
     * @param silenceTimeoutNanos how long the host may be silent before it counts as lost
     */
    public StageAttempt(String host, ImmutableList<Integer> shards, long silenceTimeoutNanos) {
        checkArgument(!shards.isEmpty(), "a stage of no shards at %s", host);
        this.host = host;
        this.shards = shards;
        this.silenceTimeoutNanos = silenceTimeoutNanos;
    }

    /** Returns the host that asks. */
    public String host() {
        return host;
    }

    /** Returns the numbers of the shards. */
    public ImmutableList<Integer> shards() {
        return shards;
    }

    /** Returns true once the query no longer counts on the host, because it was silent for too long. */
    public boolean isAbandoned() {
        return abandoned;
    }

    /** Returns in words how it stands, for a log line. */
    String describe() {
        String state = over ? "over" : responded ? "at work" : "silent";
        return "stage " + host + " of " + shards.size() + " shards is " + state + (abandoned ? ", abandoned" : "");
    }

    long silenceTimeoutNanos() {
        return silenceTimeoutNanos;
    }

    /** Returns true while the query waits for the first word of the host. */
    boolean isSilent() {
        return !over && !responded && !abandoned;
    }

    boolean isOver() {
        return over;
    }

    void recordResponse() {
        responded = true;
    }

    void abandon() {
        abandoned = true;
    }

    void finish() {
        over = true;
    }
}
