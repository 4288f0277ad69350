/** The targets that are known now: who they are, where, and what they hold. */
package org.tamaracktrack.core.fleet;
