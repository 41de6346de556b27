package org.vaneworks.state;

/**
 * One accepted change of the configuration.
 *
 * @param version the version that it made
 * @param changeId its unique name
 * @param author who made it
 * @param atMillis when, by the operator's clock, milliseconds since 1970
 * @param summary what it did
 */
public record ChangeRecord(
    long version, String changeId, String author, long atMillis, String summary) {}
