/** The settings of one process, read strictly from a file of JSON with comments. */
@NullMarked
package org.bramblerack.daemon.settings;

import org.jspecify.annotations.NullMarked;
