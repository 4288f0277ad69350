/** Contains the daemon's main class, which reads the settings and starts one role. */
package org.tamaracktrack.daemon;
