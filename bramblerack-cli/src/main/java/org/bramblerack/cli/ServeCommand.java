package org.bramblerack.cli;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.bramblerack.daemon.host.HostProcess;
import org.bramblerack.daemon.lifecycle.LogSetup;
import org.bramblerack.daemon.lifecycle.TerminationSignal;
import org.bramblerack.daemon.peer.LinkPolicy;
import org.bramblerack.daemon.settings.Settings;
import org.bramblerack.daemon.settings.SettingsReader;
import org.bramblerack.process.document.ValidationError;

/** Runs one host until a termination signal arrives. */
final class ServeCommand implements Command {
    private static final String DEFAULT_LAG_MILLIS = "3000";
    private static final String DEFAULT_LIMIT_MILLIS = "30000";

    @Override
    public String name() {
        return "serve";
    }

    @Override
    public String arguments() {
        return "--settings FILE";
    }

    @Override
    public String summary() {
        return "Runs one host with the roles in its settings until SIGTERM, then stops it gracefully.";
    }

    @Override
    public Options options() {
        return new Options()
                .addRequiredOption("s", "settings", true, "the settings file (docs/SETTINGS.md)")
                .addOption(null, "log", true, "the format of the log lines on standard error: text or json")
                .addOption(
                        null,
                        "lag-ms",
                        true,
                        "how long to accept requests after SIGTERM, until the load balancer has noticed")
                .addOption(null, "limit-ms", true, "how long to wait for requests in flight after that");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream out) throws ParseException, IOException, InterruptedException {
        String logFormat = line.getOptionValue("log", "text");
        if (logFormat.equals("json")) {
            LogSetup.useJson();
        } else if (!logFormat.equals("text")) {
            throw new ParseException("--log " + logFormat + " is not a log format; give text or json");
        }
        Duration lag = Arguments.millis(line, "lag-ms", DEFAULT_LAG_MILLIS);
        Duration limit = Arguments.millis(line, "limit-ms", DEFAULT_LIMIT_MILLIS);
        Path file = Path.of(line.getOptionValue("settings"));
        Either<ImmutableList<ValidationError>, Settings> settings = SettingsReader.read(TextFiles.read(file));
        if (settings.isLeft()) {
            ValidationErrors.print(file.toString(), settings.getLeft(), out);
            return ExitCode.REFUSED;
        }
        HostProcess process = new HostProcess(settings.get(), LinkPolicy.OPEN);
        try {
            process.start();
        } catch (IOException | RuntimeException failure) {
            out.println("cannot start: " + failure.getMessage());
            process.kill();
            return ExitCode.UNAVAILABLE;
        }
        CountDownLatch terminated = new CountDownLatch(1);
        TerminationSignal.onSignals(() -> stop(process, lag, limit, terminated), () -> {
            process.kill();
            terminated.countDown();
        });
        terminated.await();
        return ExitCode.OK;
    }

    private static void stop(HostProcess process, Duration lag, Duration limit, CountDownLatch terminated) {
        try {
            process.stop(lag, limit);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            terminated.countDown();
        }
    }
}
