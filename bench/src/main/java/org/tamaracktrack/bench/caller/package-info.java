/** Sends requests as callers do, and checks that answers are complete and belong to the request. */
package org.tamaracktrack.bench.caller;
