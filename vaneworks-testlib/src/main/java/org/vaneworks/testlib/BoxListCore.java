package org.vaneworks.testlib;

import com.google.common.collect.ImmutableList;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.vaneworks.coordination.boxes.Box;
import org.vaneworks.coordination.boxes.BoxList;

/** An in-memory implementation of the platform's box list. Thread-safe. */
public final class BoxListCore implements BoxList {
  private final Map<String, Box> boxes = new TreeMap<>();

  private BoxListCore() {}

  /** Returns an empty list. */
  public static BoxListCore create() {
    return new BoxListCore();
  }

  /** Adds a box or replaces it. */
  public synchronized void put(Box box) {
    boxes.put(box.name(), box);
  }

  /** Removes a box. */
  public synchronized void remove(String name) {
    boxes.remove(name);
  }

  /** Marks a box as leaving. */
  public synchronized void markLeaving(String name) {
    Box box = boxes.get(name);
    put(new Box(name, box.role(), box.address(), box.dataCentre(), true));
  }

  @Override
  public synchronized CompletableFuture<ImmutableList<Box>> boxes() {
    return CompletableFuture.completedFuture(ImmutableList.copyOf(boxes.values()));
  }
}
