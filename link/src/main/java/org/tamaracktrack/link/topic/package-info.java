/**
 * Defines the client of partitioned topics with conditional appends, some of which are compacted to
 * the newest record of each key.
 */
package org.tamaracktrack.link.topic;
