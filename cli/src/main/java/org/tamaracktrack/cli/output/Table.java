package org.tamaracktrack.cli.output;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** A table with named columns. */
public final class Table {
    private final List<String> columns;
    private final List<List<Object>> rows = new ArrayList<>();

    private Table(List<String> columns) {
        this.columns = List.copyOf(columns);
    }

    /**
     * Returns a table without rows.
     *
     * @param columns the names of the columns
     * @return the table
     */
    public static Table of(String... columns) {
        return new Table(List.of(columns));
    }

    /**
     * Adds a row.
     *
     * @param values one value for each column
     * @return this table
     */
    public Table row(Object... values) {
        Objects.checkIndex(values.length - 1, columns.size());
        rows.add(List.of(values));
        return this;
    }

    /**
     * Returns the rows as maps, to be encoded as JSON.
     *
     * @return one map for each row, from column name to value, in the order of the columns
     */
    public List<Map<String, Object>> asMaps() {
        return rows.stream().map(this::asMap).toList();
    }

    /**
     * Returns the table as text with aligned columns.
     *
     * @return the lines
     */
    public String asText() {
        List<Integer> widths = IntStream.range(0, columns.size()).mapToObj(this::width).toList();
        List<List<Object>> lines = new ArrayList<>();
        lines.add(new ArrayList<>(columns));
        lines.addAll(rows);
        return lines.stream()
                .map(line -> padded(line, widths))
                .collect(Collectors.joining(System.lineSeparator()));
    }

    /**
     * Returns the table as CSV in the format of RFC 4180.
     *
     * @return the lines
     */
    public String asCsv() {
        List<List<Object>> lines = new ArrayList<>();
        lines.add(new ArrayList<>(columns));
        lines.addAll(rows);
        return lines.stream()
                .map(line -> line.stream().map(Table::csvField).collect(Collectors.joining(",")))
                .collect(Collectors.joining(System.lineSeparator()));
    }

    private Map<String, Object> asMap(List<Object> row) {
        Map<String, Object> map = new LinkedHashMap<>();
        IntStream.range(0, columns.size())
                .forEach(index -> map.put(columns.get(index), jsonValue(row.get(index))));
        return map;
    }

    private static Object jsonValue(Object value) {
        return value instanceof Number ? value : value.toString();
    }

    private int width(int column) {
        int widest =
                rows.stream()
                        .mapToInt(row -> displayText(row.get(column)).length())
                        .max()
                        .orElse(0);
        return Math.max(widest, columns.get(column).length());
    }

    private static String padded(List<Object> line, List<Integer> widths) {
        return IntStream.range(0, line.size())
                .mapToObj(index -> padded(line.get(index), widths.get(index)))
                .collect(Collectors.joining("  "))
                .stripTrailing();
    }

    private static String padded(Object value, int width) {
        String space = " ".repeat(width - displayText(value).length());
        return value instanceof Number ? space + displayText(value) : displayText(value) + space;
    }

    // Notes are free text of operators. A line break in a note would look like another row.
    private static String displayText(Object value) {
        return value.toString().replaceAll("\\p{Cntrl}", " ");
    }

    private static String csvField(Object value) {
        String text = value.toString();
        return text.matches("[^\",\r\n]*") ? text : "\"" + text.replace("\"", "\"\"") + "\"";
    }
}
