package org.bramblerack.cli;

/** The exit codes of the program. Scripts rely on the numbers. */
enum ExitCode {
    /** The subcommand succeeded. */
    OK(0),
    /** The request was refused or a check failed; the output names the reason. */
    REFUSED(1),
    /** The command line is invalid; the output names the error or shows the usage. */
    USAGE(2),
    /** A host cannot be reached, a file cannot be read, an address cannot be bound, or an unexpected error occurred. */
    UNAVAILABLE(3);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
