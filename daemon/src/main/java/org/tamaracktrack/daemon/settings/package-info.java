/** Settings by flags and environment variables, checked all at once at start. */
package org.tamaracktrack.daemon.settings;
