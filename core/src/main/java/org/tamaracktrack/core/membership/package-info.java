/**
 * Tracks which targets an entry daemon may send requests to: the owner of each target, whether it
 * is connected and alive, and whether it is leaving.
 */
package org.tamaracktrack.core.membership;
