/** Codecs for the messages exchanged with callers, endpoints, the platform and peers. */
package org.vaneworks.protocol;
