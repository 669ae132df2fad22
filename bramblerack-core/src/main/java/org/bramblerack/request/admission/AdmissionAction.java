package org.bramblerack.request.admission;

import java.time.Duration;

/**
 * What is to be done with a request that asked for room.
 *
 * @param <T> what stands for a request
 */
public sealed interface AdmissionAction<T> {
    /** Begin it. */
    record Start<T>(T request) implements AdmissionAction<T> {}

    /**
     * Refuse it; it has not run.
     *
     * @param retryAfter when there is likely to be room
     */
    record Refuse<T>(T request, Duration retryAfter) implements AdmissionAction<T> {}
}
