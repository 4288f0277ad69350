/** Partitioned topics with conditional appends, some of which keep the newest record of a key. */
package org.tamaracktrack.link.topic;
