package org.bramblerack.request.admission;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A request that asks for room.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param <T> what stands for the request
 * @param request the request
 * @param rank its rank; 0 is the highest
 * @param team the team that it is made for, empty if there is none
 * @param weight the team's share of the room against other teams of the rank
 * @param calls how many calls to leafs it takes
 * @param expectedNanos how long it takes from its start to its answer, as a rule
 * @param goalNanos when its answer loses most of its worth
 * @param deadlineNanos when its caller stops waiting
 */
public record QueuedRequest<T>(
        T request,
        int rank,
        String team,
        double weight,
        int calls,
        long expectedNanos,
        long goalNanos,
        long deadlineNanos) {
    /** Refuses weights and costs that are not above zero. */
    public QueuedRequest {
        checkArgument(weight > 0, "the weight %s is not above 0", weight);
        checkArgument(calls > 0, "a request of %s calls", calls);
    }
}
