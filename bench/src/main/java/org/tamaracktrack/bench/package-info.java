/**
 * Contains the main class of the bench, with one subcommand for each way to run or measure the
 * system.
 */
package org.tamaracktrack.bench;
