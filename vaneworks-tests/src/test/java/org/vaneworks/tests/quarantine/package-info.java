/** Tests of what is held back because endpoints end under it. */
package org.vaneworks.tests.quarantine;
