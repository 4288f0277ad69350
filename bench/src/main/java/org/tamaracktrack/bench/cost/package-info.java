/** What single decisions of the core cost, measured without input or output. */
package org.tamaracktrack.bench.cost;
