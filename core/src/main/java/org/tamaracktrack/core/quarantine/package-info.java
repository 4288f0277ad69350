/** Quarantine of requests, and of parts of prompts, that repeatedly cause targets to end. */
package org.tamaracktrack.core.quarantine;
