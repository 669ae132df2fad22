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

/** Makes the state of a control host that never voted, once in its life. */
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
        return "Makes the state of a control host before its very first start; never after a lost disk.";
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
            Faults.print(file, settings.getLeft(), out);
            return ExitCode.REFUSED;
        }
        if (!settings.get().hasRole(Role.CONTROL)) {
            out.println(file + ": the host has no control role; add it to roles first");
            return ExitCode.REFUSED;
        }
        try {
            new FileLogStore(settings.get().controlFolder()).initialize();
        } catch (DiskFault fault) {
            out.println("refused: " + fault.getMessage());
            return ExitCode.REFUSED;
        }
        out.println("made the state of voter " + settings.get().host() + " in "
                + settings.get().controlFolder());
        return ExitCode.OK;
    }
}
