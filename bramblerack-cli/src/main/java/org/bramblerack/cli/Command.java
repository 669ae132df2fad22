package org.bramblerack.cli;

import java.io.IOException;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** A subcommand of the program. Implementations keep no state between runs. */
interface Command {
    /** Returns the name that selects this subcommand on the command line. */
    String name();

    /** Returns the usage text after {@code [OPTIONS]}, such as {@code FILE}; empty if there is none. */
    String arguments();

    /** Returns a one-sentence description for the help output. */
    String summary();

    /** Returns the supported options except {@code --help}, which every subcommand has. */
    Options options();

    /**
     * Runs the subcommand.
     *
     * @param line the parsed command line
     * @param out where to print the results
     * @return the exit code of the program
     * @throws ParseException if an option or argument is invalid
     * @throws IOException if a file cannot be read or a host does not reply
     * @throws InterruptedException if the thread is interrupted
     */
    ExitCode run(CommandLine line, PrintStream out) throws ParseException, IOException, InterruptedException;
}
