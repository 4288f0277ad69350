/** Which configuration is in force in this process, and where it came from. */
package org.tamaracktrack.daemon.configuration;
