package org.vaneworks.protocol;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import org.vaneworks.coordination.boxes.Box;
import org.vaneworks.coordination.store.StoreEntry;
import org.vaneworks.state.HostPort;

/** The messages of the platform's store and box list. */
public final class PlatformJson {
  /** Asks for a key's entry; query {@code key}. */
  public static final String READ_PATH = "/kv";

  /** Swaps a key's value. */
  public static final String SWAP_PATH = "/cas";

  /** Waits for a newer entry; query {@code key}, {@code after}, {@code waitMs}. */
  public static final String WATCH_PATH = "/watch";

  /** Lists the boxes. */
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

  /** Returns the document that asks to swap a value. */
  public static String writeSwap(String key, long expectedRevision, String value) {
    return Json.write(
        Json.object().put("key", key).put("expected", expectedRevision).put("value", value));
  }

  /** Reads the revision that a swap made. */
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
