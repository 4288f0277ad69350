/** Measurements of the running system. */
package org.tamaracktrack.bench.measure;
