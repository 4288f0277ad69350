/** The daemon's entry point: reads the settings and starts one role. */
package org.tamaracktrack.daemon;
