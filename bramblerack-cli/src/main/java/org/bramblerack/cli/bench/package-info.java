/** Benchmarks: each prints what it ran under, a table, and writes the table to a file. None of them is a test. */
@NullMarked
package org.bramblerack.cli.bench;

import org.jspecify.annotations.NullMarked;
