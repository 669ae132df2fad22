package org.bramblerack.cli;

import com.google.common.net.HostAndPort;
import com.google.common.primitives.Longs;
import java.time.Duration;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.ParseException;

/** Parses typed values from a command line. Stateless. */
final class Arguments {
    private Arguments() {}

    static Duration millis(CommandLine line, String option, String defaultValue) throws ParseException {
        return Duration.ofMillis(nonNegativeLong(line, option, defaultValue));
    }

    static long nonNegativeLong(CommandLine line, String option, String defaultValue) throws ParseException {
        String text = line.getOptionValue(option, defaultValue);
        Long value = Longs.tryParse(text);
        if (value == null || value < 0) {
            throw new ParseException("--" + option + " " + text + " is not a whole number of at least 0");
        }
        return value;
    }

    static HostAndPort address(CommandLine line, String option) throws ParseException {
        String text = line.getOptionValue(option);
        try {
            HostAndPort address = HostAndPort.fromString(text);
            if (address.hasPort()) {
                return address;
            }
        } catch (IllegalArgumentException malformed) {
            // Falls through to the exception below, which also covers an address without a port.
        }
        throw new ParseException(
                "--" + option + " " + text + " is not an address; give IP:PORT, such as 127.0.0.1:8101");
    }

    static String singleArgument(CommandLine line, String argumentName) throws ParseException {
        if (line.getArgList().size() != 1) {
            throw new ParseException("give exactly one " + argumentName);
        }
        return line.getArgList().get(0);
    }
}
