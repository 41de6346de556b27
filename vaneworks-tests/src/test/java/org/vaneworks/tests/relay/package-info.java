/** Tests of the choice of paths over engines. */
package org.vaneworks.tests.relay;
