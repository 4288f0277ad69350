/**
 * What the process beside a target decides about its engine: who owns it, which orders are sent,
 * and what is resident. Pure: messages and time in, actions out.
 */
package org.tamaracktrack.core.target;
