/** Admission control of an entry host: which requests start, queue or are refused while the host lacks capacity. */
@NullMarked
package org.bramblerack.request.admission;

import org.jspecify.annotations.NullMarked;
