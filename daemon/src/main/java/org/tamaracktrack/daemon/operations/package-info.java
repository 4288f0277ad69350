/** Serves health, readiness and metrics over HTTP for operators and the load balancer. */
package org.tamaracktrack.daemon.operations;
