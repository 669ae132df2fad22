package org.bramblerack.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Writes the files of the demonstration. The script {@code bramblerack} runs it before it starts the processes. */
final class DemoPrepareCommand implements Command {
    @Override
    public String name() {
        return "demo-prepare";
    }

    @Override
    public String arguments() {
        return "--folder FOLDER --examples FOLDER";
    }

    @Override
    public String summary() {
        return "Writes the settings and declarations of the demonstration.";
    }

    @Override
    public Options options() {
        return new Options()
                .addRequiredOption(null, "folder", true, "the folder to write to")
                .addRequiredOption(null, "examples", true, "the folder of the example declarations");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream out) throws IOException {
        Path folder = Path.of(line.getOptionValue("folder"));
        new DemoPlan(folder, Path.of(line.getOptionValue("examples"))).write();
        TextFiles.write(folder.resolve("platform.json"), "{\"hosts\": []}\n");
        return ExitCode.OK;
    }
}
