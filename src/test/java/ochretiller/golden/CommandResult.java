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

/** The exit code and standard output of a command that was run in this process. */
record CommandResult(int exitCode, String output) {
    private static final ObjectMapper JSON = new ObjectMapper();

    static CommandResult run(String... arguments) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream originalOut = System.out;
        try (PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8)) {
            System.setOut(out);
            int code =
                    new CommandLine(Main.class)
                            .setOut(new PrintWriter(out, true))
                            .execute(arguments);
            return new CommandResult(code, bytes.toString(StandardCharsets.UTF_8));
        } finally {
            System.setOut(originalOut);
        }
    }

    /** Parses the first line of the output as JSON. */
    JsonNode json() throws IOException {
        return JSON.readTree(output.lines().findFirst().orElseThrow());
    }

    /** Returns the names of an object's members in document order. */
    static List<String> memberNames(JsonNode object) {
        List<String> names = new ArrayList<>();
        object.fieldNames().forEachRemaining(names::add);
        return names;
    }
}
