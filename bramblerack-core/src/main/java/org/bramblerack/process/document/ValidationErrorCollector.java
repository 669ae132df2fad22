package org.bramblerack.process.document;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Gathers all faults of one document, up to a bound, so that an operator sees them at once.
 *
 * <p>Not safe for use by several threads.
 */
final class ValidationErrorCollector {
    private static final int MAX_FAULTS = 200;

    private final List<ValidationError> faults = new ArrayList<>();

    void add(int line, String field, String problem, String remedy) {
        if (faults.size() < MAX_FAULTS) {
            faults.add(new ValidationError(line, field, problem, remedy));
        }
    }

    boolean isEmpty() {
        return faults.isEmpty();
    }

    /** Returns the faults in the order of their lines. */
    ImmutableList<ValidationError> sorted() {
        return ImmutableList.sortedCopyOf(Comparator.comparingInt(ValidationError::line), faults);
    }
}
