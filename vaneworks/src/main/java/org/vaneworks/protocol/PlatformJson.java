package org.vaneworks.protocol;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import org.vaneworks.coordination.boxes.Box;
import org.vaneworks.coordination.store.StoreEntry;
import org.vaneworks.state.HostPort;

/** The messages of the platform's store and of its box list. */
public final class PlatformJson {
  /** Path for reading the entry of a key; query parameter {@code key}. */
  public static final String READ_PATH = "/kv";

  /** Path for a compare-and-swap of a key's value. */
  public static final String SWAP_PATH = "/cas";

  /** Path for waiting for a newer entry; parameters {@code key}, {@code after}, {@code waitMs}. */
  public static final String WATCH_PATH = "/watch";

  /** Path for listing the boxes. */
  public static final String BOXES_PATH = "/boxes";

  private PlatformJson() {}

  /** Returns the document of an entry. */
  public static String writeEntry(StoreEntry entry) {
    return Json.write(
        Json.object()
            .put("key", entry.key())
            .put("revision", entry.revision())
            .put("value", entry.value()));
  }

  /** Reads an entry. */
  public static StoreEntry readEntry(String text) {
    FieldReader fields = FieldReader.of("entry", Json.parse(text));
    return new StoreEntry(
        fields.text("key"),
        fields.longInteger("revision", 1, Long.MAX_VALUE),
        fields.text("value", ""));
  }

  /** Returns the request for a compare-and-swap. */
  public static String writeSwap(String key, long expectedRevision, String value) {
    return Json.write(
        Json.object().put("key", key).put("expected", expectedRevision).put("value", value));
  }

  /** Reads the revision that a compare-and-swap created. */
  public static long readRevision(String text) {
    return FieldReader.of("swap", Json.parse(text)).longInteger("revision", 1, Long.MAX_VALUE);
  }

  /** Returns the document of the box list. */
  public static String writeBoxes(Iterable<Box> boxes) {
    ArrayNode list = Json.list();
    boxes.forEach(box -> list.add(writeBox(box)));
    return Json.write(Json.object().set("boxes", list));
  }

  /** Returns the document of one box. */
  public static ObjectNode writeBox(Box box) {
    return Json.object()
        .put("name", box.name())
        .put("role", box.role().name())
        .put("address", box.address().toString())
        .put("dataCentre", box.dataCentre())
        .put("leaving", box.leaving());
  }

  /** Reads the box list. */
  public static ImmutableList<Box> readBoxes(String text) {
    return FieldReader.of("", Json.parse(text)).objects("boxes").stream()
        .map(PlatformJson::readBox)
        .collect(ImmutableList.toImmutableList());
  }

  /** Reads one box. */
  public static Box readBox(FieldReader fields) {
    return new Box(
        fields.text("name"),
        fields.oneOf("role", Box.Role.class, Box.Role.ENDPOINT),
        HostPort.parse(fields.text("address")),
        fields.text("dataCentre", ""),
        fields.bool("leaving", false));
  }
}
