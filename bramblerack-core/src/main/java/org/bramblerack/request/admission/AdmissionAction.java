package org.bramblerack.request.admission;

import java.time.Duration;

/**
 * An action returned by {@link EntryAdmission}, to be performed in order.
 *
 * @param <T> the type of a request
 */
public sealed interface AdmissionAction<T> {
    /** Start the request. */
    record Start<T>(T request) implements AdmissionAction<T> {}

    /**
     * Refuse the request, which has not run.
     *
     * @param retryAfter after what time capacity is likely to be available
     */
    record Refuse<T>(T request, Duration retryAfter) implements AdmissionAction<T> {}
}
