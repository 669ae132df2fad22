package org.bramblerack.request.routed;

/** Receives the events of one shard's request that concern the whole query. */
interface ShardListener {
    /** Handles the end of the request, once: it has an answer or can no longer get one. */
    void onFinished();

    /** Handles the need for an attempt that belongs to the host that delegated the query. */
    void onAttemptRequested();
}
