/** A process's counters and their publication in the reports stream. */
package org.tamaracktrack.daemon.counters;
