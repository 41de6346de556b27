package org.vaneworks.testlib.fleet;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/**
 * A fleet: its data centres with nodes, engines and traffic.
 *
 * @param dataCentres the data centres
 */
public record FleetShape(ImmutableList<DataCentre> dataCentres) {
  /**
   * One data centre.
   *
   * @param name its name
   * @param nodes number of nodes
   * @param engines number of engines by accelerator
   * @param streamsPerSecond streams that its callers begin a second
   */
  public record DataCentre(
      String name, int nodes, ImmutableMap<String, Integer> engines, double streamsPerSecond) {
    /** Checks the numbers. */
    public DataCentre {
      checkArgument(nodes > 0, "nodes must be positive: %s", nodes);
      checkArgument(streamsPerSecond >= 0, "streamsPerSecond: %s", streamsPerSecond);
    }
  }

  /** Returns the number of nodes. */
  public int nodes() {
    return dataCentres.stream().mapToInt(DataCentre::nodes).sum();
  }

  /** Returns the same fleet with about that many nodes, in the same proportions. */
  public FleetShape withNodes(int nodes) {
    double factor = (double) nodes / nodes();
    return new FleetShape(
        dataCentres.stream()
            .map(
                each ->
                    new DataCentre(
                        each.name(),
                        Math.max(1, (int) Math.round(each.nodes() * factor)),
                        each.engines(),
                        each.streamsPerSecond()))
            .collect(ImmutableList.toImmutableList()));
  }

  /** Returns the same fleet with that many times the traffic. */
  public FleetShape withTraffic(double factor) {
    return new FleetShape(
        dataCentres.stream()
            .map(
                each ->
                    new DataCentre(
                        each.name(),
                        each.nodes(),
                        each.engines(),
                        each.streamsPerSecond() * factor))
            .collect(ImmutableList.toImmutableList()));
  }
}
