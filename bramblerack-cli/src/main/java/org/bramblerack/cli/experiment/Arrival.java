package org.bramblerack.cli.experiment;

/**
 * One attempt of a caller.
 *
 * @param number tells it from others
 * @param load its kind
 * @param firstNanos when the caller's first attempt was made
 * @param deadlineNanos when the caller stops waiting
 * @param attempt 0 for the first
 */
record Arrival(long number, Load load, long firstNanos, long deadlineNanos, int attempt) {}
