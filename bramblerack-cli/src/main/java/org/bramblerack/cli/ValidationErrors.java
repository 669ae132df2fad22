package org.bramblerack.cli;

import java.io.PrintStream;
import java.util.List;
import org.bramblerack.process.document.ValidationError;

/** Prints the validation errors of a file, one per line, and their number. Stateless. */
final class ValidationErrors {
    private ValidationErrors() {}

    static void print(String file, List<ValidationError> errors, PrintStream out) {
        errors.forEach(error -> out.println(file + ": " + error));
        out.println(file + ": " + errors.size() + (errors.size() == 1 ? " error" : " errors"));
    }
}
