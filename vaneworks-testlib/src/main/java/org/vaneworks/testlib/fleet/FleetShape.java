package org.vaneworks.testlib.fleet;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/**
 * The size of a simulated fleet: nodes, engines and traffic by data centre.
 *
 * @param dataCentres the data centres
 */
public record FleetShape(ImmutableList<DataCentre> dataCentres) {
  /**
   * The size of one data centre.
   *
   * @param name name of the data centre
   * @param nodes number of nodes
   * @param engines number of engines by accelerator
   * @param streamsPerSecond streams that its callers start per second
   */
  public record DataCentre(
      String name, int nodes, ImmutableMap<String, Integer> engines, double streamsPerSecond) {
    /** Validates the components. */
    public DataCentre {
      checkArgument(nodes > 0, "nodes must be positive: %s", nodes);
      checkArgument(
          streamsPerSecond >= 0, "streamsPerSecond must not be negative: %s", streamsPerSecond);
    }
  }

  /** Returns the number of nodes. */
  public int nodes() {
    return dataCentres.stream().mapToInt(DataCentre::nodes).sum();
  }

  /** Returns this fleet with approximately the given number of nodes, in the same proportions. */
  public FleetShape withNodes(int nodes) {
    double factor = (double) nodes / nodes();
    return new FleetShape(
        dataCentres.stream()
            .map(
                centre ->
                    new DataCentre(
                        centre.name(),
                        Math.max(1, (int) Math.round(centre.nodes() * factor)),
                        centre.engines(),
                        centre.streamsPerSecond()))
            .collect(ImmutableList.toImmutableList()));
  }

  /** Returns this fleet with its traffic multiplied by a factor. */
  public FleetShape withTraffic(double factor) {
    return new FleetShape(
        dataCentres.stream()
            .map(
                centre ->
                    new DataCentre(
                        centre.name(),
                        centre.nodes(),
                        centre.engines(),
                        centre.streamsPerSecond() * factor))
            .collect(ImmutableList.toImmutableList()));
  }
}
