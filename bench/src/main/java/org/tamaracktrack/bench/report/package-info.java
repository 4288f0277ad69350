/** Compares the operators' reports with the results that callers observed. */
package org.tamaracktrack.bench.report;
