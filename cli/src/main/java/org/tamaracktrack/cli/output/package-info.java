/** Writes the results of commands as tables, JSON or CSV. */
package org.tamaracktrack.cli.output;
