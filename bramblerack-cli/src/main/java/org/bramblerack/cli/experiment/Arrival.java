package org.bramblerack.cli.experiment;

/**
 * One attempt of a caller to get a query answered.
 *
 * @param number identifies the attempt within a run
 * @param load the kind of query
 * @param firstNanos when the caller's first attempt was made
 * @param deadlineNanos when the caller stops waiting, over all of its attempts
 * @param attempt how many attempts the caller made before this one
 */
record Arrival(long number, Load load, long firstNanos, long deadlineNanos, int attempt) {}
