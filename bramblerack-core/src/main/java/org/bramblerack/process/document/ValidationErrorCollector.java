package org.bramblerack.process.document;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Collects the errors of one document, up to {@value #MAX_ERRORS}, so that they can be reported together.
 *
 * <p>Not safe for use by several threads.
 */
final class ValidationErrorCollector {
    private static final int MAX_ERRORS = 200;

    private final List<ValidationError> errors = new ArrayList<>();

    void add(int line, String field, String problem, String remedy) {
        if (errors.size() < MAX_ERRORS) {
            errors.add(new ValidationError(line, field, problem, remedy));
        }
    }

    boolean isEmpty() {
        return errors.isEmpty();
    }

    /** Returns the errors in the order of their lines. */
    ImmutableList<ValidationError> sorted() {
        return ImmutableList.sortedCopyOf(Comparator.comparingInt(ValidationError::line), errors);
    }
}
