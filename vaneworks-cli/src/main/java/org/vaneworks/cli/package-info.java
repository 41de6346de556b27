/** The command-line tool {@code vaneworks} for operators. */
package org.vaneworks.cli;
