package org.bramblerack.daemon.gateway;

/**
 * The deadlines of one request on the clock of this host.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param goalNanos when an answer should be sent (soft deadline)
 * @param deadlineNanos when the final answer is sent at the latest
 * @param leafDeadlineNanos until when leaves may work on the request
 */
record RequestTimes(long goalNanos, long deadlineNanos, long leafDeadlineNanos) {}
