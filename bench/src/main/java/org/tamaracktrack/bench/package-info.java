/** The bench's entry point: one command for each way to run or measure the system. */
package org.tamaracktrack.bench;
