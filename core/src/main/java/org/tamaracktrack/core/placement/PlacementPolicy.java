package org.tamaracktrack.core.placement;

/**
 * Decides which copies of models are wanted. The {@link Planner} decides on the steps towards that
 * layout.
 */
public interface PlacementPolicy {

    /**
     * Changes a layout into the wanted layout.
     *
     * @param layout the copies planned so far, changed in place; copies on targets that are leaving
     *     are no longer in it
     * @param view the configuration, target states and demand to plan from
     */
    void improve(Layout layout, PlanningView view);
}
