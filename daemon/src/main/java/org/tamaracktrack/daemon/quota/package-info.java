/** Messages between daemons about the quotas of client accounts. */
package org.tamaracktrack.daemon.quota;
