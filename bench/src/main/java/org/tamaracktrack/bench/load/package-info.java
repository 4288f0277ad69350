/** Loads and experiments at the sizes of today. */
package org.tamaracktrack.bench.load;
