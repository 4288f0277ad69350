/**
 * One caller's request from its arrival to its single answer, over all of its attempts: what is
 * sent to targets, what the caller gets, and what is known of whether the request ran.
 */
package org.tamaracktrack.core.exchange;
