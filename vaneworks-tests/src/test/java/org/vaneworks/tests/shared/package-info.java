/** Tests of the state that nodes share through the platform's store. */
package org.vaneworks.tests.shared;
