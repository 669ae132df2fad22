package org.bramblerack.daemon.gateway;

/**
 * The times of one request on this host's clock.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param goalNanos when an answer should be on its way
 * @param deadlineNanos when the final answer is given at the latest
 * @param leafDeadlineNanos until when leafs may work on it
 */
record RequestTimes(long goalNanos, long deadlineNanos, long leafDeadlineNanos) {}
