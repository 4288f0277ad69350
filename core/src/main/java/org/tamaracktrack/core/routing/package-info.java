/**
 * Selects the target of an attempt. Entry daemons act on hints, which may be outdated. A wrong
 * choice leads to a definite refusal and another attempt, never to a wrong answer.
 */
package org.tamaracktrack.core.routing;
