/** Architecture, documentation and property tests. */
package org.vaneworks.tests;
