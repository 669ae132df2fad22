package org.bramblerack.process.document;

import static java.util.Objects.requireNonNull;

/**
 * One thing wrong with a document: where, what, and how to mend it.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param line the line, counted from 1
 * @param field the path of the field, such as {@code services[2].slots}; empty for the whole document
 * @param problem what is wrong
 * @param remedy what to do about it
 */
public record ValidationError(int line, String field, String problem, String remedy) {
    /** Refuses null parts. */
    public ValidationError {
        requireNonNull(field);
        requireNonNull(problem);
        requireNonNull(remedy);
    }

    @Override
    public String toString() {
        String place = field.isEmpty() ? "line " + line : "line " + line + ", field " + field;
        return place + ": " + problem + ". Remedy: " + remedy + ".";
    }
}
