/**
 * Placement policies over demand traces: small fakes of engines and the weight store, seconds as
 * steps, no process and no socket. It measures decisions, not the running system.
 */
package org.tamaracktrack.bench.trace;
