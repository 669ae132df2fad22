package org.bramblerack.cli;

/** The exit codes of the program, which are stable. */
enum ExitCode {
    /** Done. */
    OK(0),
    /** What was asked for is refused, or a check failed; the output says why. */
    REFUSED(1),
    /** The command line is wrong; the output says how it is right. */
    USAGE(2),
    /** A host cannot be reached, or a file cannot be read or an address not be used. */
    UNAVAILABLE(3);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
