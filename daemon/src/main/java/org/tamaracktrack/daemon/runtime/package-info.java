/**
 * Provides what both roles share: the control thread, the log follower, logging and the components
 * that a role is built from.
 */
package org.tamaracktrack.daemon.runtime;
