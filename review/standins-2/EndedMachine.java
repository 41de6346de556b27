import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Streams without a length run while the machine of one model replica goes. */
final class EndedMachine {
  private static final int STREAMS = 60;

  private EndedMachine() {}

  public static void main(String[] args) throws Exception {
    Bench2 bench = new Bench2();
    bench.store.put("op/config", Texts2.configuration(1));
    List<Engine2> engines = new ArrayList<>();
    for (int i = 1; i <= 6; i++) {
      engines.add(new Engine2(bench, "i-e" + i, "huvo11a", true));
    }
    engines.forEach(engine -> engine.events = 110);
    for (int i = 0; i < 2; i++) {
      bench.startNode();
    }
    bench.awaitReady();
    Thread.sleep(4000);
    Map<String, Web.Answer> answers = new ConcurrentHashMap<>();
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      String id = "s" + i;
      Bench2.Node node = bench.nodes.get(i % 2);
      bench.say(id + " sent to " + node.name);
      clients.add(
          Web.daemon(
              () ->
                  answers.put(
                      id,
                      Web.call(node.host, node.port, "POST", "/lohu930/2f",
                          Texts2.streamHeaders(id), "{\"prompt\":\"" + id + "\"}", 20_000))));
      Thread.sleep(20);
    }
    Thread.sleep(500);
    if (bench.trouble) {
      Engine2 busiest = engines.get(0);
      for (Engine2 engine : engines) {
        busiest = engine.streams.get() > busiest.streams.get() ? engine : busiest;
      }
      bench.say(busiest.id + " runs " + busiest.streams.get() + " streams");
      busiest.register("draining");
      bench.say(busiest.id + " says that it leaves");
      Thread.sleep(2000);
      bench.say(busiest.id + " still runs " + busiest.streams.get() + " streams");
      busiest.endWithMachine();
      Thread.sleep(3600);
      bench.store.remove("servers/" + busiest.id);
    }
    for (Thread client : clients) {
      client.join(20_000);
    }
    int broken = 0;
    int whole = 0;
    for (Map.Entry<String, Web.Answer> entry : answers.entrySet()) {
      Web.Answer answer = entry.getValue();
      int last = answer.body().split("\n\n").length;
      boolean complete = answer.body().endsWith("token110\n\n");
      bench.say(entry.getKey() + ": status " + answer.status() + ", " + last + " events, ends with "
          + answer.body().substring(Math.max(0, answer.body().length() - 12)).strip());
      whole += answer.status() == 200 && complete ? 1 : 0;
      broken += answer.status() == 200 && !complete ? 1 : 0;
    }
    if (!bench.trouble && whole < STREAMS) {
      bench.unable("only " + whole + " streams were served");
    }
    bench.finish(broken > 0, broken + " streams ended as complete before their last event; whole: "
        + whole + " of " + STREAMS);
  }
}
