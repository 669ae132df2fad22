package org.bramblerack.process.document;

import static java.util.Objects.requireNonNull;

/**
 * An error in a document: its location, the problem and the remedy.
 *
 * <p>Immutable and safe for use by many threads.
 *
 * @param line the line, counted from 1
 * @param field the path of the field, such as {@code services[2].slots}; empty for the whole document
 * @param problem what is wrong
 * @param remedy how to correct it
 */
public record ValidationError(int line, String field, String problem, String remedy) {
    /** Rejects null components. */
    public ValidationError {
        requireNonNull(field);
        requireNonNull(problem);
        requireNonNull(remedy);
    }

    @Override
    public String toString() {
        String location = field.isEmpty() ? "line " + line : "line " + line + ", field " + field;
        return location + ": " + problem + ". Remedy: " + remedy + ".";
    }
}
