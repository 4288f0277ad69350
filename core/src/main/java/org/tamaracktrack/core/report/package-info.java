/** Who got what: the names of the counters, and the sum of every process's counter records. */
package org.tamaracktrack.core.report;
