/**
 * Admission control of a target: decides which request runs next, with bounded queues per class,
 * classes by weight, weighted fair queueing of client accounts within a class, and early refusal of
 * requests that cannot meet the objectives of their class. The code has no side effects: it takes
 * messages and times and returns actions.
 *
 * <p>Usage of client accounts, for daemons: {@link
 * org.tamaracktrack.core.admission.SharedAccountUsage} compares what each account has outstanding.
 */
package org.tamaracktrack.core.admission;
