/** The duty of giving orders to engines: who has it, what it sees, and the orders themselves. */
package org.tamaracktrack.daemon.copies;
