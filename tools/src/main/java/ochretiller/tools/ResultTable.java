package ochretiller.tools;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The rows of one measurement: printed as they are added, and saved as a CSV file. */
final class ResultTable {
    private final Path file;
    private final List<String> lines = new ArrayList<>();

    ResultTable(String name, String... columns) {
        this.file = ToolsCommand.FIGURES_DIRECTORY.resolve(name + ".csv");
        lines.add(String.join(",", columns));
        System.out.println(String.join("  ", columns));
    }

    void addRow(Object... values) {
        List<String> cells = new ArrayList<>();
        for (Object value : values) {
            cells.add(
                    value instanceof Double number
                            ? String.format(Locale.ROOT, number < 100 ? "%.3f" : "%.0f", number)
                            : String.valueOf(value));
        }
        lines.add(String.join(",", cells));
        System.out.println(String.join("  ", cells));
    }

    void save() throws IOException {
        Files.createDirectories(file.getParent());
        Files.write(file, lines);
    }
}
