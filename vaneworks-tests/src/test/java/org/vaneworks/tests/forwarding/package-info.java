/** Tests of request forwarding on a manually advanced clock. */
package org.vaneworks.tests.forwarding;
