package org.vaneworks.testlib;

import org.vaneworks.coordination.endpoints.SessionId;

/**
 * One run of a layer range for one step.
 *
 * @param session stream, epoch and layers
 * @param step the step
 * @param rebuilt whether it ran to rebuild a lost session
 * @param prompt the prompt, where the first layers ran step 0; else empty
 */
public record LedgerEntry(SessionId session, int step, boolean rebuilt, String prompt) {}
