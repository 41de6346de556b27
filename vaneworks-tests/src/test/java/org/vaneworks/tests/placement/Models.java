package org.vaneworks.tests.placement;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.vaneworks.state.entry.AcceleratorProfile;
import org.vaneworks.state.entry.ModelProfile;

/** Provides a model of eighty layers and accelerators to run it on. */
public final class Models {
  /** A large and fast accelerator. */
  public static final AcceleratorProfile LARGE = new AcceleratorProfile("large", 72_000, 2.4, 3.2);

  /** An accelerator of medium size and speed. */
  public static final AcceleratorProfile MIDDLE =
      new AcceleratorProfile("middle", 43_200, 5.6, 2.7);

  /** A small and slow accelerator. */
  public static final AcceleratorProfile SMALL = new AcceleratorProfile("small", 21_600, 16, 8.2);

  private Models() {}

  /** Returns a model of eighty layers. */
  public static ModelProfile eightyLayers() {
    return new ModelProfile(
        80,
        1750,
        1_315_343,
        134,
        14,
        1.02,
        0.01,
        0.0137,
        105_000,
        774,
        200,
        ImmutableMap.of("large", LARGE, "middle", MIDDLE, "small", SMALL),
        Optional.empty());
  }
}
