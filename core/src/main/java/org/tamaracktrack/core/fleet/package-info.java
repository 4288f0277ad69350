/** Tracks the known targets, their addresses, and the models that they hold. */
package org.tamaracktrack.core.fleet;
