/**
 * Which target an attempt goes to. Entry daemons hold hints and no authority: a wrong choice costs
 * a definite refusal and another attempt, never a wrong answer.
 */
package org.tamaracktrack.core.routing;
