package org.vaneworks.coordination.boxes;

import com.google.common.collect.ImmutableList;
import java.util.concurrent.CompletableFuture;

/** The platform's list of live and leaving boxes; it lags. */
@FunctionalInterface
public interface BoxList {
  /** Reads the whole list. */
  CompletableFuture<ImmutableList<Box>> boxes();
}
