/** Typed messages and their codecs: what each outside system and each peer says. */
package org.vaneworks.protocol;
