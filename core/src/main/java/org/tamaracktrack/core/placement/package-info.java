/**
 * Which model is to be resident on which target: demand, policies, and safe steps between plans.
 */
package org.tamaracktrack.core.placement;
