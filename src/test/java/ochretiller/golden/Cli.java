package ochretiller.golden;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import ochretiller.Main;
import picocli.CommandLine;

/** The program's command line in this process: its exit code and what it prints. */
record Cli(int code, String out) {
    private static final ObjectMapper JSON = new ObjectMapper();

    static Cli run(String... words) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream before = System.out;
        try (PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8)) {
            System.setOut(out);
            int code =
                    new CommandLine(Main.class).setOut(new PrintWriter(out, true)).execute(words);
            return new Cli(code, bytes.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(before);
        }
    }

    /** The first line of what was printed, as JSON. */
    JsonNode json() throws IOException {
        return JSON.readTree(out.lines().findFirst().orElseThrow());
    }

    /** Names of an object's members in their order. */
    static List<String> members(JsonNode object) {
        List<String> names = new ArrayList<>();
        object.fieldNames().forEachRemaining(names::add);
        return names;
    }
}
