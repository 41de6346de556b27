package org.vaneworks.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.vaneworks.protocol.Json;

/** The output formats of command results. */
enum OutputFormat {
  TABLE {
    @Override
    String print(JsonNode result) {
      List<JsonNode> rows = new ArrayList<>();
      if (result.isArray()) {
        result.forEach(rows::add);
      } else {
        rows.add(result);
      }
      return table(rows);
    }
  },
  JSON {
    @Override
    String print(JsonNode result) {
      return Json.write(result);
    }
  },
  YAML {
    @Override
    String print(JsonNode result) {
      return Json.writeYaml(result).stripTrailing();
    }
  };

  abstract String print(JsonNode result);

  private static String table(List<JsonNode> rows) {
    Set<String> columns = new LinkedHashSet<>();
    rows.forEach(row -> row.fieldNames().forEachRemaining(columns::add));
    List<List<String>> cells = new ArrayList<>();
    cells.add(columns.stream().map(name -> name.toUpperCase(Locale.ROOT)).toList());
    for (JsonNode row : rows) {
      cells.add(columns.stream().map(name -> cell(row.path(name))).toList());
    }
    StringBuilder text = new StringBuilder();
    for (List<String> cellsOfRow : cells) {
      for (int column = 0; column < cellsOfRow.size(); column++) {
        int columnIndex = column;
        int width =
            cells.stream()
                .mapToInt(cellsOfOtherRow -> cellsOfOtherRow.get(columnIndex).length())
                .max()
                .orElse(0);
        text.append(String.format(Locale.ROOT, "%-" + (width + 2) + "s", cellsOfRow.get(column)));
      }
      text.append('\n');
    }
    return text.toString().stripTrailing();
  }

  private static String cell(JsonNode value) {
    return value.isContainerNode() ? value.toString() : value.asText(" ");
  }
}
