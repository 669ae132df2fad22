/**
 * Experiments: the product's own routing decisions against a model of the leafs, callers, hosts and links that they
 * serve, much faster than real processes.
 */
@NullMarked
package org.bramblerack.cli.experiment;

import org.jspecify.annotations.NullMarked;
