/** Benchmarks of the {@code bench} subcommand, which print their results and write them to files. */
@NullMarked
package org.bramblerack.cli.bench;

import org.jspecify.annotations.NullMarked;
