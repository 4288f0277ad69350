/**
 * Simulations of placement policies over demand traces, with fakes of the engines and the weight
 * store and a step of one second. They start no processes and open no sockets, and evaluate the
 * decisions of a policy, not the running system.
 */
package org.tamaracktrack.bench.trace;
