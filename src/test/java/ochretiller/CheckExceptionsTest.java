package ochretiller;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests {@code checks/CheckExceptions.java}, run in the same way as in CI. */
class CheckExceptionsTest {
    private static final String BRACES_ENTRY = "NeedBraces a/One.java ";

    @TempDir private Path root;
    private Path report;
    private Path list;

    private record Verdict(int code, String output) {}

    @BeforeEach
    void writeReportWithTwoViolations() throws Exception {
        report = root.resolve("report.xml");
        list = root.resolve("list.txt");
        writeReport("a/One.java", "NeedBraces", "NeedBraces");
    }

    @Test
    void listedViolationsPass() throws Exception {
        assertThat(check(BRACES_ENTRY + 2).code).isZero();
    }

    @Test
    void unlistedViolationFails() throws Exception {
        Verdict verdict = check("# nothing");

        assertThat(verdict.code).isEqualTo(1);
        assertThat(verdict.output)
                .contains(
                        "a/One.java:7: NeedBraces: planted",
                        BRACES_ENTRY.strip() + ": 2 found, 0 listed");
    }

    @Test
    void moreViolationsThanListedFail() throws Exception {
        Verdict verdict = check(BRACES_ENTRY + 1);

        assertThat(verdict.code).isEqualTo(1);
        assertThat(verdict.output).contains("2 found, 1 listed");
    }

    @Test
    void entryForAnotherFileOrCheckDoesNotApply() throws Exception {
        assertThat(check("NeedBraces a/Two.java 2").output).contains("2 found, 0 listed");
        assertThat(check("FileLength a/One.java 2").output).contains("2 found, 0 listed");
    }

    @Test
    void unneededEntryFails() throws Exception {
        Verdict verdict = check(BRACES_ENTRY + 2, "FileLength a/One.java 1");

        assertThat(verdict.code).isEqualTo(1);
        assertThat(verdict.output).contains("FileLength a/One.java: exception not needed");
    }

    @Test
    void tooHighCountFails() throws Exception {
        Verdict verdict = check(BRACES_ENTRY + 3);

        assertThat(verdict.code).isEqualTo(1);
        assertThat(verdict.output).contains("3 listed, lower it to 2");
    }

    @Test
    void malformedListAndReportFail() throws Exception {
        assertThat(check("NeedBraces a/One.java").code).isEqualTo(2);
        assertThat(check(BRACES_ENTRY + 2, BRACES_ENTRY + 2).code).isEqualTo(2);
        Files.writeString(report, "<checkstyle/>");
        assertThat(check(BRACES_ENTRY + 2).code).isEqualTo(2);
    }

    @Test
    void newlyWrittenListPasses() throws Exception {
        assertThat(run("--write").code).isZero();
        assertThat(Files.readString(list)).endsWith("\n" + BRACES_ENTRY + "2\n");
        assertThat(run().code).isZero();
    }

    private void writeReport(String path, String... checks) throws Exception {
        StringBuilder text =
                new StringBuilder(
                        "<checkstyle><file name='" + root.toRealPath().resolve(path) + "'>");
        for (String check : checks) {
            text.append(
                            "<error line='7' severity='error' message='planted'"
                                    + " source='com.puppycrawl.tools.checkstyle.checks.")
                    .append(check)
                    .append("Check'/>");
        }
        Files.writeString(report, text + "</file></checkstyle>");
    }

    private Verdict check(String... lines) throws Exception {
        Files.writeString(list, String.join("\n", lines) + "\n");
        return run();
    }

    private Verdict run(String... options) throws Exception {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add(Path.of("checks", "CheckExceptions.java").toString());
        command.addAll(List.of(options));
        command.addAll(List.of(report.toString(), list.toString(), root.toString()));
        Path output = root.resolve("said.txt");
        Process process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(output.toFile())
                        .start();
        assertThat(process.waitFor(60, TimeUnit.SECONDS)).isTrue();
        return new Verdict(process.exitValue(), Files.readString(output));
    }
}
