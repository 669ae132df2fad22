package org.bramblerack.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.bramblerack.daemon.event.LoggedEvent;
import org.bramblerack.daemon.event.RequestExplanation;

/** Explains the outcome of a request from the log files of the hosts. */
final class ExplainCommand implements Command {
    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String arguments() {
        return "ID FILE...";
    }

    @Override
    public String summary() {
        return "Explains the outcome of a request from the log files of one or more hosts.";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public ExitCode run(CommandLine line, PrintStream out) throws ParseException, IOException {
        List<String> arguments = line.getArgList();
        if (arguments.size() < 2) {
            throw new ParseException("give the request's ID and the log FILE of each host");
        }
        List<LoggedEvent> events = new ArrayList<>();
        for (String name : arguments.subList(1, arguments.size())) {
            Path path = Path.of(name);
            if (!Files.isReadable(path)) {
                throw new IOException(name + " cannot be read; give the files that contain the hosts' log output");
            }
            try (Stream<String> lines = Files.lines(path)) {
                lines.forEach(text -> LoggedEvent.parse(String.valueOf(path.getFileName()), text)
                        .ifPresent(events::add));
            }
        }
        String requestId = arguments.get(0);
        RequestExplanation explanation = RequestExplanation.of(requestId, events);
        if (!explanation.isFound()) {
            out.println("no log line in these files is about request " + requestId + "; they contain " + events.size()
                    + " events. Each host logs at most 1 successful and 20 other requests per second:"
                    + " look for request_lines_left_out, and give the files of all entry hosts");
            return ExitCode.REFUSED;
        }
        explanation.lines().forEach(out::println);
        return ExitCode.OK;
    }
}
