/**
 * The operators' command-line tool. Publishes configurations, and shows the configuration in force,
 * the state of the targets, and reports on requests.
 */
package org.tamaracktrack.cli;
