/** Formats the totals of the reports stream as tables for operators. */
package org.tamaracktrack.cli.report;
