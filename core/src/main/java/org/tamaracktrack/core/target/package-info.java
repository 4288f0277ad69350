/**
 * Control of the engine of a target by the process beside it: ownership, orders, and the models and
 * adapters in memory. Without I/O: messages and time are the input, actions the output.
 */
package org.tamaracktrack.core.target;
