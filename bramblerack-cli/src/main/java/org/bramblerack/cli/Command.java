package org.bramblerack.cli;

import java.io.IOException;
import java.io.PrintStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** A subcommand. Implementations keep no state between runs. */
interface Command {
    /** Returns the name on the command line. */
    String name();

    /** Returns what follows the options, such as {@code FILE}; empty if nothing does. */
    String arguments();

    /** Returns one sentence on what it does. */
    String summary();

    /** Returns the options, without {@code --help}. */
    Options options();

    /**
     * Runs.
     *
     * @throws ParseException if the command line is wrong
     * @throws IOException if a file cannot be read
     * @throws InterruptedException if the process is asked to end
     */
    ExitCode run(CommandLine line, PrintStream out) throws ParseException, IOException, InterruptedException;
}
