package org.vaneworks.state;

/**
 * An entry in the history of accepted configuration changes.
 *
 * @param version the configuration version that the change created
 * @param changeId the unique id of the change
 * @param author who made the change
 * @param atMillis time of the change by the operator's clock, in milliseconds since the epoch
 * @param summary description of the change
 */
public record ChangeRecord(
    long version, String changeId, String author, long atMillis, String summary) {}
