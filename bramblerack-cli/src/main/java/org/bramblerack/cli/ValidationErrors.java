package org.bramblerack.cli;

import java.io.PrintStream;
import java.util.List;
import org.bramblerack.process.document.ValidationError;

/** Prints the faults of a file, a line each. Stateless. */
final class ValidationErrors {
    private ValidationErrors() {}

    static void print(String file, List<ValidationError> errors, PrintStream out) {
        errors.forEach(error -> out.println(file + ": " + error));
        out.println(file + ": " + errors.size() + (errors.size() == 1 ? " fault" : " faults"));
    }
}
