/** The commands of the operators' tool. */
package org.tamaracktrack.cli.command;
