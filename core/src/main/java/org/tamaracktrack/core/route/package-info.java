/** What callers may ask for: routes to services, and what each service's targets can hold. */
package org.tamaracktrack.core.route;
