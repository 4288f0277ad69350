/** What operators and the balancer read of a daemon over HTTP: health, readiness and metrics. */
package org.tamaracktrack.daemon.operations;
