/**
 * Models the serving configuration: routes to services, and what the targets of each service can
 * hold.
 */
package org.tamaracktrack.core.route;
