/**
 * Quotas of client accounts that hold for all daemons together. One daemon, the coordinator, keeps
 * the token buckets; the others ask it before they admit a request. The coordinator's authority
 * over a quota is the sum of the votes of the daemons that follow it, so that several coordinators
 * together never admit more than the quota.
 */
package org.tamaracktrack.core.quota;
