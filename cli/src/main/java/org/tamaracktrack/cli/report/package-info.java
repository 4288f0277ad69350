/** Arranges the sums of the reports stream as rows for operators. */
package org.tamaracktrack.cli.report;
