/** Holds the counters of a process and publishes them to the reports stream of the log. */
package org.tamaracktrack.daemon.counters;
