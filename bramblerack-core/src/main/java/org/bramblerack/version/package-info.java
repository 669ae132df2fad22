/** The index versions that upstreams serve, and the revisions of the declared configuration. */
@NullMarked
package org.bramblerack.version;

import org.jspecify.annotations.NullMarked;
