package org.vaneworks.daemon;

import com.google.common.collect.ImmutableList;

/** Collects the names of the fields that differ between two sets of settings. Not thread-safe. */
public final class FieldDifferences {
  private final ImmutableList.Builder<String> names = ImmutableList.builder();

  private FieldDifferences() {}

  /** Returns a collector without names. */
  public static FieldDifferences create() {
    return new FieldDifferences();
  }

  /** Adds the name of a field if its two values are not equal. */
  public FieldDifferences compare(String name, Object before, Object after) {
    if (!before.equals(after)) {
      names.add(name);
    }
    return this;
  }

  /** Returns the collected names in the order of comparison. */
  public ImmutableList<String> names() {
    return names.build();
  }
}
