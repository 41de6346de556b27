package review;

/** Parts of the operator's configuration, with the figures of the pages. */
final class Configurations {
  static final int LAYER_MB = 1750;
  static final double LOAD_SECONDS = 14.0;

  private Configurations() {}

  /** Returns the engine of a model service. */
  static String engine(int layers, String kind, int mb, double pace, double readX) {
    return ("{\"slots\":134,\"kvCapTokens\":69791,\"kvTokenBytes\":1315343,\"linkMbps\":400000.0,"
            + "\"stride\":3,\"models\":[{\"name\":\"m0\",\"pace\":1.0,\"load_s\":%s,"
            + "\"warmS\":1.0}],\"step_ms\":1.02,\"per_seq_ms\":0.01023,\"context_per_k\":0.0137,"
            + "\"read_per_s\":105000.0,\"pairs_per_m\":0.309,\"chunk\":512,"
            + "\"report_lag_ms\":200.0,\"loads_per_s\":0.0,\"loads_at_once\":5,\"delays\":[],"
            + "\"usual\":{\"prompt\":774,\"answer\":200},\"layers\":%d,\"layer_mb\":%d.0,"
            + "\"act_bytes\":65767,\"pipe_mbps\":26000.0,\"kinds\":[{\"name\":\"%s\",\"mb\":%d.0,"
            + "\"pace\":%s,\"read_x\":%s}]}")
        .formatted(LOAD_SECONDS, layers, LAYER_MB, kind, mb, pace, readX);
  }

  /** Returns a model service. */
  static String service(String name, String engine) {
    return ("{\"name\":\"%s\",\"healthPath\":\"/health\",\"maxConns\":978,\"proto\":\"h1\","
            + "\"tls\":false,\"engine\":%s}")
        .formatted(name, engine);
  }

  /** Returns a resumable stream route on the host of the stand-ins. */
  static String stream(String name, String service) {
    return ("{\"name\":\"%s\",\"host\":\"a.example\",\"pathPrefix\":\"/%s/\",\"kind\":\"stream\","
            + "\"timeoutMs\":20000,\"sloMs\":500,\"prio\":1,\"service\":\"%s\",\"attempts\":2,"
            + "\"public\":false,\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":200}")
        .formatted(name, name, service);
  }

  /** Returns a configuration with one tenant, whose key is "key-ward". */
  static String of(int version, String routes, String services) {
    return ("{\"version\":%d,\"routes\":[%s],\"services\":[%s],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"ward\",\"apiKeys\":[\"key-ward\"],\"prio\":1}]}")
        .formatted(version, routes, services);
  }
}
