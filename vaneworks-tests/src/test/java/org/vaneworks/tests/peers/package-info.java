/** Tests over sockets of the connections between nodes. */
package org.vaneworks.tests.peers;
