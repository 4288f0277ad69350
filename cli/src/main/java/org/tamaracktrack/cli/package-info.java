/** The operators' tool: publishes configurations and shows what is in force and who got what. */
package org.tamaracktrack.cli;
