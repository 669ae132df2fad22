package org.bramblerack.cli;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.bramblerack.daemon.lifecycle.TerminationSignal;
import org.bramblerack.process.document.ValidationError;
import org.bramblerack.standin.StandInFleet;
import org.bramblerack.version.Declaration;
import org.bramblerack.version.DeclarationReader;

/** Runs stand-ins for the upstreams of a declaration until a termination signal arrives. */
final class StandInCommand implements Command {
    private static final String DEFAULT_SERVICE_MICROS = "3000";
    private static final String DEFAULT_SEED = "1";

    @Override
    public String name() {
        return "stand-in";
    }

    @Override
    public String arguments() {
        return "--declaration FILE --control IP:PORT";
    }

    @Override
    public String summary() {
        return "Runs stand-ins for all upstreams of a declaration, for tests and experiments.";
    }

    @Override
    public Options options() {
        return new Options()
                .addRequiredOption(null, "declaration", true, "the declaration whose upstreams are simulated")
                .addRequiredOption(
                        null,
                        "control",
                        true,
                        "the address that accepts changes of their behaviour (docs/STAND-INS.md)")
                .addOption(null, "service-us", true, "the service time of a call, in microseconds")
                .addOption(null, "seed", true, "the random seed of their behaviour");
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream out) throws ParseException, IOException, InterruptedException {
        String file = line.getOptionValue("declaration");
        Either<ImmutableList<ValidationError>, Declaration> declaration =
                DeclarationReader.read(TextFiles.read(Path.of(file)));
        if (declaration.isLeft()) {
            ValidationErrors.print(file, declaration.getLeft(), out);
            return ExitCode.REFUSED;
        }
        int serviceMicros = (int) Math.max(1, Arguments.nonNegativeLong(line, "service-us", DEFAULT_SERVICE_MICROS));
        StandInFleet fleet = new StandInFleet(
                declaration.get(), serviceMicros, Arguments.nonNegativeLong(line, "seed", DEFAULT_SEED));
        fleet.start();
        fleet.startControl(Arguments.address(line, "control"));
        out.println("stand-ins of " + declaration.get().partner() + " are ready");
        out.flush();
        CountDownLatch terminated = new CountDownLatch(1);
        TerminationSignal.onSignals(terminated::countDown, terminated::countDown);
        terminated.await();
        fleet.stop();
        return ExitCode.OK;
    }
}
