/** Runs the whole system as separate processes on one host. */
package org.tamaracktrack.bench.stack;
