/** Strict reading of JSON documents with comments; errors carry the line and the field. */
@NullMarked
package org.bramblerack.process.document;

import org.jspecify.annotations.NullMarked;
