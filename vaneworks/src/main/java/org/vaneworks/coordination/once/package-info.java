/**
 * At-most-once execution of requests: tickets, claims of idempotency keys, and records.
 *
 * <p>Decides whether a repeated request runs, joins the running request or receives the recorded
 * answer. Decisions depend on the tickets that this node issued, the claims in the shard documents
 * of the store, and the recorded answers. Used by {@code OnceService} and {@code ClaimService} of
 * {@code vaneworksd}; does not depend on peers.
 */
package org.vaneworks.coordination.once;
