package org.vaneworks.daemon;

import com.google.common.collect.ImmutableList;

/** Collects the names of settings that differ between two readings. Not thread-safe. */
public final class FieldDifferences {
  private final ImmutableList.Builder<String> names = ImmutableList.builder();

  private FieldDifferences() {}

  /** Returns a collection without names. */
  public static FieldDifferences create() {
    return new FieldDifferences();
  }

  /** Adds the field's name if its values are not equal. */
  public FieldDifferences compare(String name, Object before, Object after) {
    if (!before.equals(after)) {
      names.add(name);
    }
    return this;
  }

  /** Returns the names, in the order in which the fields were compared. */
  public ImmutableList<String> names() {
    return names.build();
  }
}
