package ochretiller.golden;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A file of expected bytes of a format, one line per entry: name, space, hex. Tests only read it;
 * after an intended change of the format, {@code -Dgolden.write=true} rewrites it.
 */
public final class GoldenFile {
    private static final Path FOLDER = Path.of("src", "test", "resources", "ochretiller", "golden");
    private static final HexFormat HEX = HexFormat.of();

    private final Path file;

    public GoldenFile(String name) {
        this.file = FOLDER.resolve(name + ".hex");
    }

    /** Fails unless the file has exactly these entries, in this order. */
    public void assertMatches(Map<String, byte[]> actual) {
        if (Boolean.getBoolean("golden.write")) {
            write(actual);
        }
        Map<String, String> golden = lines();
        actual.forEach(
                (name, bytes) ->
                        assertThat(HEX.formatHex(bytes))
                                .as("%s of %s", name, file)
                                .isEqualTo(golden.get(name)));
        assertThat(golden.keySet())
                .as("names in %s", file)
                .containsExactlyElementsOf(actual.keySet());
    }

    /** Returns the bytes of the entry with this name; fails if there is none. */
    public byte[] bytes(String name) {
        String hex = lines().get(name);
        assertThat(hex).as("%s of %s", name, file).isNotNull();
        return HEX.parseHex(hex);
    }

    /** Returns the bytes of all entries by name, in file order. */
    public Map<String, byte[]> all() {
        Map<String, byte[]> all = new LinkedHashMap<>();
        lines().forEach((name, hex) -> all.put(name, HEX.parseHex(hex)));
        return all;
    }

    private Map<String, String> lines() {
        Map<String, String> lines = new LinkedHashMap<>();
        try {
            for (String line : Files.readAllLines(file)) {
                int space = line.indexOf(' ');
                String previous = lines.put(line.substring(0, space), line.substring(space + 1));
                assertThat(previous).as("an earlier line with this name: %s", line).isNull();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return lines;
    }

    private void write(Map<String, byte[]> actual) {
        List<String> lines = new ArrayList<>();
        actual.forEach((name, bytes) -> lines.add(name + ' ' + HEX.formatHex(bytes)));
        try {
            Files.createDirectories(FOLDER);
            Files.write(file, lines);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
