package org.bramblerack.cli;

import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;
import org.bramblerack.daemon.lifecycle.LogSetup;

/** The program's entry point: parses the command line, runs the subcommand and exits with its exit code. */
public final class Main {
    private static final String PROGRAM = "./bramblerack";
    private static final ImmutableList<Command> COMMANDS = ImmutableList.of(
            new ServeCommand(),
            new InitVoterCommand(),
            new CheckCommand(),
            new ApplyCommand(),
            new StatusCommand(),
            new ExplainCommand(),
            new QueryCommand(),
            new StandInCommand(),
            new BenchCommand(),
            new ExperimentCommand(),
            new DemoPrepareCommand(),
            new DemoRunCommand());

    private Main() {}

    /** Runs the subcommand that the first argument names, and exits. */
    public static void main(String[] arguments) {
        LogSetup.useText();
        ExitCode code = run(arguments, System.out);
        System.out.flush();
        System.exit(code.code());
    }

    /** Runs the subcommand that the first argument names, and returns the exit code. */
    static ExitCode run(String[] arguments, PrintStream out) {
        if (arguments.length == 0 || isHelp(arguments[0])) {
            printOverview(out);
            return arguments.length == 0 ? ExitCode.USAGE : ExitCode.OK;
        }
        Optional<Command> command = COMMANDS.stream()
                .filter(each -> each.name().equals(arguments[0]))
                .findFirst();
        if (command.isEmpty()) {
            out.println("there is no subcommand " + arguments[0] + "; see " + PROGRAM + " --help");
            return ExitCode.USAGE;
        }
        return run(command.get(), Arrays.copyOfRange(arguments, 1, arguments.length), out);
    }

    private static ExitCode run(Command command, String[] arguments, PrintStream out) {
        if (Arrays.stream(arguments).anyMatch(Main::isHelp)) {
            return printHelp(command, out);
        }
        try {
            CommandLine line = new DefaultParser().parse(command.options(), arguments);
            return command.run(line, out);
        } catch (ParseException invalid) {
            out.println(invalid.getMessage() + "; see " + PROGRAM + " " + command.name() + " --help");
            return ExitCode.USAGE;
        } catch (IOException failure) {
            out.println("failed: " + failure.getMessage());
            return ExitCode.UNAVAILABLE;
        } catch (RuntimeException defect) {
            out.println("failed: " + defect + "; this is a bug in bramblerack, please report it");
            return ExitCode.UNAVAILABLE;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return ExitCode.UNAVAILABLE;
        }
    }

    private static boolean isHelp(String argument) {
        return argument.equals("--help") || argument.equals("-h");
    }

    private static void printOverview(PrintStream out) {
        out.println("usage: " + PROGRAM + " SUBCOMMAND [OPTIONS]");
        out.println();
        out.println(
                "  demo          Starts hosts and stand-in upstreams on this machine and shows what the tier does.");
        out.println(
                "  soak          Runs the programs as processes, injects faults, and checks the guarantees; see docs/SOAK.md.");
        for (Command command : COMMANDS) {
            if (!command.name().startsWith("demo-")) {
                out.printf("  %-13s %s%n", command.name(), command.summary());
            }
        }
        out.println();
        out.println(
                "exit codes: 0 success, 1 refused or a check failed, 2 invalid command line, 3 host or file unavailable");
        out.println("help on a subcommand: " + PROGRAM + " SUBCOMMAND --help");
    }

    private static ExitCode printHelp(Command command, PrintStream out) {
        Options options = command.options();
        options.addOption("h", "help", false, "show this help");
        String usage = PROGRAM + " " + command.name() + " [OPTIONS] " + command.arguments();
        try {
            HelpFormatter.builder()
                    .setHelpAppendable(new TextHelpAppendable(out))
                    .setShowSince(false)
                    .get()
                    .printHelp(usage, command.summary(), options, "", false);
            return ExitCode.OK;
        } catch (IOException closed) {
            return ExitCode.UNAVAILABLE;
        }
    }
}
