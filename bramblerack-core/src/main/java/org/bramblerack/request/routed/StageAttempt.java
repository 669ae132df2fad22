package org.bramblerack.request.routed;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

/**
 * A group of shards of a query that is delegated to another host near their leaves. Guarded by the query that it
 * belongs to; compared by identity.
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
     * @param host the host that calls the leaves
     * @param shards the numbers of the shards, at least one
     * @param silenceTimeoutNanos how long the host may be silent before it is treated as failed
     */
    public StageAttempt(String host, ImmutableList<Integer> shards, long silenceTimeoutNanos) {
        checkArgument(!shards.isEmpty(), "a stage needs at least one shard, host %s", host);
        this.host = host;
        this.shards = shards;
        this.silenceTimeoutNanos = silenceTimeoutNanos;
    }

    public String host() {
        return host;
    }

    public ImmutableList<Integer> shards() {
        return shards;
    }

    /** Returns true once the query has abandoned the stage because its host was silent for too long. */
    public boolean isAbandoned() {
        return abandoned;
    }

    /** Describes the state of the stage for a log line. */
    String describe() {
        String state = over ? "over" : responded ? "at work" : "silent";
        return "stage " + host + " of " + shards.size() + " shards is " + state + (abandoned ? ", abandoned" : "");
    }

    long silenceTimeoutNanos() {
        return silenceTimeoutNanos;
    }

    /** Returns true while the query waits for the first response of the host. */
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
