/** Tests over sockets of what callers receive from a node. */
package org.vaneworks.tests.callers;
