/** Usage reports: the names of the counters, and the sums of all processes' counter records. */
package org.tamaracktrack.core.report;
