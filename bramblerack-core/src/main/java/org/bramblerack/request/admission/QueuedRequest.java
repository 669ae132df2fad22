package org.bramblerack.request.admission;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A request offered to {@link EntryAdmission}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param <T> the type of the request
 * @param request the request, identified by equality
 * @param rank its priority rank; 0 is the highest
 * @param team the team that it is made for, empty if there is none
 * @param weight the team's weight relative to other teams of the rank
 * @param calls its cost as the number of calls to leaves
 * @param expectedNanos the expected time from its start to its answer
 * @param goalNanos the soft deadline, after which its answer has little value
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
    /** Creates a request; throws if the weight or the number of calls is not positive. */
    public QueuedRequest {
        checkArgument(weight > 0, "the weight %s is not positive", weight);
        checkArgument(calls > 0, "the number of calls %s is not positive", calls);
    }
}
