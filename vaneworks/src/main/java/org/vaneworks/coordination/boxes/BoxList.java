package org.vaneworks.coordination.boxes;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.CompletableFuture;

/** Client of the platform's list of live and leaving boxes, which may be out of date. */
@FunctionalInterface
public interface BoxList {
  /** Reads the complete list. */
  CompletableFuture<ImmutableList<Box>> boxes();
}
