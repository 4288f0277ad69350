/** Measurements of the cost of single decisions of the core, without input or output. */
package org.tamaracktrack.bench.cost;
