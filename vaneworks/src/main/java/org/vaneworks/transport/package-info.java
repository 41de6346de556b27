/**
 * Network I/O: HTTP with callers, endpoints and the platform (ServiceTalk); peer protocol (Netty).
 */
package org.vaneworks.transport;
