/** Tests of the assignment of layers to engines. */
package org.vaneworks.tests.placement;
