/** Compares the operators' reports with what callers saw. */
package org.tamaracktrack.bench.report;
