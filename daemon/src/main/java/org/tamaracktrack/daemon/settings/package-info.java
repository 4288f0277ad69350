/** Reads the settings from flags and environment variables and validates them at start. */
package org.tamaracktrack.daemon.settings;
