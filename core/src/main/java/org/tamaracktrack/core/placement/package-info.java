/**
 * Placement of models on targets: the demand estimate, the placement policies, and the planner that
 * changes plans in safe steps.
 */
package org.tamaracktrack.core.placement;
