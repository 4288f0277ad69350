/** Measurements of overhead, resource use and recovery times of a running system. */
package org.tamaracktrack.bench.measure;
