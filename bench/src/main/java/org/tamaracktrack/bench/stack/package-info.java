/** Runs the whole system as separate processes on one machine. */
package org.tamaracktrack.bench.stack;
