package org.vaneworks.testlib;

import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntFunction;
import org.vaneworks.coordination.endpoints.ServiceCall;
import org.vaneworks.coordination.endpoints.ServiceReply;

/** An in-memory plain service that counts how often each call was run. Thread-safe. */
public final class ServiceCore {
  private final Map<String, Integer> runs = new TreeMap<>();
  private final IntFunction<String> body;

  private final boolean statesEnd;

  private ServiceCore(IntFunction<String> body, boolean statesEnd) {
    this.body = body;
    this.statesEnd = statesEnd;
  }

  /** Returns a service that has not run any call and answers how often a call was run. */
  public static ServiceCore create() {
    return new ServiceCore(times -> "{\"runs\":" + times + "}", true);
  }

  /** Returns a service that has not run any call and answers each call with the body. */
  public static ServiceCore withBody(String body) {
    return new ServiceCore(times -> body, true);
  }

  /** Returns such a service that states no end of its answers. */
  public static ServiceCore withoutStatedEnd(String body) {
    return new ServiceCore(times -> body, false);
  }

  /** Runs a call. */
  public synchronized ServiceReply run(ServiceCall call) {
    int times = runs.merge(call.method() + " " + call.path() + " " + call.body(), 1, Integer::sum);
    return new ServiceReply(200, "application/json", body.apply(times), statesEnd);
  }

  /** Returns how often each call was run. */
  public synchronized ImmutableMap<String, Integer> runs() {
    return ImmutableMap.copyOf(runs);
  }
}
