package org.bramblerack.cli;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.bramblerack.daemon.settings.SettingsReader;
import org.bramblerack.process.document.DocumentReader;
import org.bramblerack.process.document.ValidationError;
import org.bramblerack.version.DeclarationReader;

/** Validates a settings or declaration file without applying it. */
final class CheckCommand implements Command {
    @Override
    public String name() {
        return "check";
    }

    @Override
    public String arguments() {
        return "FILE";
    }

    @Override
    public String summary() {
        return "Validates a settings or declaration file and prints each error with its line and remedy.";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream out) throws ParseException, IOException {
        String name = Arguments.singleArgument(line, "FILE");
        String text = TextFiles.read(Path.of(name));
        boolean isSettings = isSettings(text);
        Either<ImmutableList<ValidationError>, String> result = isSettings
                ? SettingsReader.read(text).map(settings -> "settings of host " + settings.host())
                : DeclarationReader.read(text)
                        .map(declaration -> "declaration of " + declaration.partner() + " with "
                                + declaration.services().size() + " services");
        if (result.isLeft()) {
            ValidationErrors.print(name, result.getLeft(), out);
            return ExitCode.REFUSED;
        }
        out.println(name + ": no errors, " + result.get());
        return ExitCode.OK;
    }

    /** Returns true if the file has the field host or roles, which only settings have. */
    private static boolean isSettings(String text) {
        boolean[] settingsFound = new boolean[1];
        var unused = DocumentReader.read(text, fields -> {
            settingsFound[0] = fields.has("host") || fields.has("roles");
            return settingsFound;
        });
        return settingsFound[0];
    }
}
