/** Quarantine of requests that repeatedly cause targets to end. */
package org.tamaracktrack.core.quarantine;
