/** Determines which configuration is in force in this process, from the log and from peers. */
package org.tamaracktrack.daemon.configuration;
