/**
 * Which targets an entry daemon may send work to: who owns each, whether it is connected and alive,
 * and whether it is leaving.
 */
package org.tamaracktrack.core.membership;
