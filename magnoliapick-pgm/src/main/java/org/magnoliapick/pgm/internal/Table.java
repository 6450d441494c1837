package org.magnoliapick.pgm.internal;

import java.util.ArrayList;
import java.util.List;

/** Rows of text in aligned columns. */
final class Table {
    private final List<List<String>> mRows = new ArrayList<>();

    Table(String... heads) {
        row((Object[]) heads);
    }

    Table row(Object... cells) {
        List<String> texts = new ArrayList<>();
        for (Object cell : cells) {
            texts.add(String.valueOf(cell));
        }
        mRows.add(texts);
        return this;
    }

    /** Returns the lines, each without spaces at its end. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        for (List<String> row : mRows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < row.size(); column++) {
                String cell = row.get(column);
                line.append(cell).append(" ".repeat(width(column) - cell.length() + 2));
            }
            lines.add(line.toString().stripTrailing());
        }
        return lines;
    }

    private int width(int column) {
        return mRows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }
}
