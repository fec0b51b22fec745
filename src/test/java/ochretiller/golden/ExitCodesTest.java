package ochretiller.golden;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import ochretiller.Main;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Pins the program's exit codes and its single line of error output. */
class ExitCodesTest {
    @TempDir private Path folder;

    private String outputOf(int expectedCode, String... arguments) throws Exception {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                "java",
                                "-XX:TieredStopAtLevel=1",
                                "-cp",
                                System.getProperty("java.class.path"),
                                Main.class.getName()));
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().remove("EDGE_CONFIG");
        Process process = builder.start();
        assertThat(process.waitFor(30, TimeUnit.SECONDS)).as("the process has exited").isTrue();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(process.exitValue()).as(output).isEqualTo(expectedCode);
        return output;
    }

    private Path operator(String text) throws IOException {
        return Files.writeString(folder.resolve("operator.json5"), text);
    }

    @Test
    void successExitsWithZero() throws Exception {
        assertThat(outputOf(0, "version")).startsWith("ochretiller ");
        Path operator = operator("{}");
        assertThat(outputOf(0, "check", "--operator", operator.toString()))
                .isEqualTo("the operators' file " + operator + " is good\n");
    }

    @Test
    void failureExitsWithOne() throws Exception {
        String missing = folder.resolve("none").toString();
        assertThat(outputOf(1, "store", "verify", missing))
                .startsWith("ochretiller: ")
                .hasLineCount(1);
    }

    @Test
    void invalidInputExitsWithTwo() throws Exception {
        assertThat(outputOf(2, "check"))
                .isEqualTo("ochretiller: no configuration: EDGE_CONFIG is not set\n");
        assertThat(outputOf(2, "check", "--operator", operator("{ unknown: 1 }").toString()))
                .startsWith("ochretiller: ")
                .hasLineCount(1);
        assertThat(outputOf(2, "unknown")).contains("Usage: ochretiller");
        assertThat(outputOf(2)).startsWith("a sub-command is needed\n");
    }
}
