/** The operators' command {@code vaneworks}. */
package org.vaneworks.cli;
