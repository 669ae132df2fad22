/** The command line: one program whose subcommands serve, check, apply, show, ask, and demonstrate. */
@NullMarked
package org.bramblerack.cli;

import org.jspecify.annotations.NullMarked;
