/** The services of the present configuration, with the shared tables that outlive it. */
@NullMarked
package org.bramblerack.process.directory;

import org.jspecify.annotations.NullMarked;
