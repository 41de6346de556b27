/**
 * What is known of requests that may run at most once: tickets, claims and their records.
 *
 * <p>Decides whether a repeat runs, joins the running one or gets the stored answer. Input: tickets
 * that this node issued, claims in the store's shard documents, answers. Asked by {@code
 * OnceService} and {@code ClaimDesk} of {@code vaneworksd}; knows no peers.
 */
package org.vaneworks.coordination.once;
