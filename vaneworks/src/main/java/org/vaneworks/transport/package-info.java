/** Sockets and HTTP: ServiceTalk to callers, endpoints and the platform; Netty between nodes. */
package org.vaneworks.transport;
