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
 * Bytes that a format is to keep: a line of a name, a space and hex for each. Tests only read them;
 * {@code -Dgolden.write=true} writes them anew, for a format that is meant to change.
 */
public final class GoldenFile {
    private static final Path FOLDER = Path.of("src", "test", "resources", "ochretiller", "golden");
    private static final HexFormat HEX = HexFormat.of();

    private final Path file;

    public GoldenFile(String name) {
        this.file = FOLDER.resolve(name + ".hex");
    }

    /** Fails unless these bytes, under these names and in this order, are all that the file has. */
    public void assertHolds(Map<String, byte[]> written) {
        if (Boolean.getBoolean("golden.write")) {
            write(written);
        }
        Map<String, String> golden = lines();
        written.forEach(
                (name, bytes) ->
                        assertThat(HEX.formatHex(bytes))
                                .as("%s of %s", name, file)
                                .isEqualTo(golden.get(name)));
        assertThat(golden.keySet())
                .as("names in %s", file)
                .containsExactlyElementsOf(written.keySet());
    }

    /** The bytes under this name. */
    public byte[] bytes(String name) {
        String hex = lines().get(name);
        assertThat(hex).as("%s of %s", name, file).isNotNull();
        return HEX.parseHex(hex);
    }

    /** All bytes by their names, in the file's order. */
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
                String before = lines.put(line.substring(0, space), line.substring(space + 1));
                assertThat(before).as("an earlier line of that name: %s", line).isNull();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return lines;
    }

    private void write(Map<String, byte[]> written) {
        List<String> lines = new ArrayList<>();
        written.forEach((name, bytes) -> lines.add(name + ' ' + HEX.formatHex(bytes)));
        try {
            Files.createDirectories(FOLDER);
            Files.write(file, lines);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
