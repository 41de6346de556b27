package org.vaneworks.testlib;

import org.vaneworks.coordination.endpoints.SessionId;

/**
 * Records that an engine ran its layer range for one step.
 *
 * @param session stream, epoch and layers of the session
 * @param step number of the step
 * @param rebuilt whether the step was rerun to rebuild a lost session
 * @param prompt the prompt if the first layers ran step 0, otherwise empty
 */
public record LedgerEntry(SessionId session, int step, boolean rebuilt, String prompt) {}
