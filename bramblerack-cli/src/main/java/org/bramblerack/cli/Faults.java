package org.bramblerack.cli;

import java.io.PrintStream;
import java.util.List;
import org.bramblerack.process.document.ValidationError;

/** Prints the faults of a file, a line each. Stateless. */
final class Faults {
    private Faults() {}

    static void print(String file, List<ValidationError> faults, PrintStream out) {
        faults.forEach(fault -> out.println(file + ": " + fault));
        out.println(file + ": " + faults.size() + (faults.size() == 1 ? " fault" : " faults"));
    }
}
