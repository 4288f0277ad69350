package org.tamaracktrack.core.placement;

/** Decides which copies are wanted. How to get there safely is not its concern. */
public interface PlacementPolicy {

    /**
     * Changes a layout into the wanted one.
     *
     * @param layout the copies planned so far, changed in place; copies on targets that are leaving
     *     are no longer in it
     * @param view what is known
     */
    void improve(Layout layout, PlanningView view);
}
