/** The services of the configuration in force, with tables that are kept when the configuration changes. */
@NullMarked
package org.bramblerack.process.directory;

import org.jspecify.annotations.NullMarked;
