/**
 * Decides which request a target runs next: bounded queues per class, classes by weight, client
 * accounts by weighted fair queueing inside a class, and early refusal of what can't meet its
 * class. Pure: messages and time in, actions out.
 */
package org.tamaracktrack.core.admission;
