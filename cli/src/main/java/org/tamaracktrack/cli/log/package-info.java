/** Reads the streams of the log to their end, and publishes configurations to it. */
package org.tamaracktrack.cli.log;
