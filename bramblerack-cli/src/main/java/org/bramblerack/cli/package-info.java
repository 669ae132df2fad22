/** The command line: a program with subcommands that run hosts, administer them, and send queries to them. */
@NullMarked
package org.bramblerack.cli;

import org.jspecify.annotations.NullMarked;
