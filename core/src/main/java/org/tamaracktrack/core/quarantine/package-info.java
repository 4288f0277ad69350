/** Requests under which targets end, and from when on they are kept away from all targets. */
package org.tamaracktrack.core.quarantine;
