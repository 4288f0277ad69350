/**
 * Measurements of how the cost of decisions and records grows with their size, within a single
 * process.
 */
package org.tamaracktrack.bench.slope;
