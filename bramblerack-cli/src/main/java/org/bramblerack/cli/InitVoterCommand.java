package org.bramblerack.cli;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.bramblerack.daemon.control.DiskFault;
import org.bramblerack.daemon.control.FileLogStore;
import org.bramblerack.daemon.settings.Role;
import org.bramblerack.daemon.settings.Settings;
import org.bramblerack.daemon.settings.SettingsReader;
import org.bramblerack.process.document.ValidationError;

/** Creates the initial voter state of a new control host. A voter that lost its disk must not be initialized again. */
final class InitVoterCommand implements Command {
    @Override
    public String name() {
        return "init-voter";
    }

    @Override
    public String arguments() {
        return "--settings FILE";
    }

    @Override
    public String summary() {
        return "Creates the state of a control host before its first start; must not be used after a lost disk.";
    }

    @Override
    public Options options() {
        return new Options().addRequiredOption("s", "settings", true, "the settings file (docs/SETTINGS.md)");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream out) throws IOException {
        String file = line.getOptionValue("settings");
        Either<ImmutableList<ValidationError>, Settings> settings = SettingsReader.read(TextFiles.read(Path.of(file)));
        if (settings.isLeft()) {
            ValidationErrors.print(file, settings.getLeft(), out);
            return ExitCode.REFUSED;
        }
        if (!settings.get().hasRole(Role.CONTROL)) {
            out.println(file + ": the host does not have the role control; add it to roles first");
            return ExitCode.REFUSED;
        }
        try {
            new FileLogStore(settings.get().controlFolder()).initialize();
        } catch (DiskFault fault) {
            out.println("refused: " + fault.getMessage());
            return ExitCode.REFUSED;
        }
        out.println("created the state of voter " + settings.get().host() + " in "
                + settings.get().controlFolder());
        return ExitCode.OK;
    }
}
