/**
 * Network I/O of request forwarding: the HTTP server for callers, pooled connections to endpoints,
 * the readiness check, and load reports over UDP. HTTP is handled by ServiceTalk; a {@link
 * org.vaneworks.transport.entry.HeaderDialect} maps platform-specific headers.
 */
package org.vaneworks.transport.entry;
