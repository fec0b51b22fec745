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

/** The verdicts of {@code checks/CheckExceptions.java}, run as CI runs it. */
class CheckExceptionsTest {
    private static final String BRACES = "NeedBraces a/One.java ";

    @TempDir private Path root;
    private Path report;
    private Path list;

    private record Verdict(int code, String said) {}

    @BeforeEach
    void twoViolations() throws Exception {
        report = root.resolve("report.xml");
        list = root.resolve("list.txt");
        reportOf("a/One.java", "NeedBraces", "NeedBraces");
    }

    @Test
    void whatIsListedPasses() throws Exception {
        assertThat(judge(BRACES + 2).code).isZero();
    }

    @Test
    void aViolationThatIsNotListedFails() throws Exception {
        Verdict verdict = judge("# nothing");

        assertThat(verdict.code).isEqualTo(1);
        assertThat(verdict.said)
                .contains(
                        "a/One.java:7: NeedBraces: planted",
                        BRACES.strip() + ": 2 found, 0 listed");
    }

    @Test
    void oneMoreThanListedFails() throws Exception {
        Verdict verdict = judge(BRACES + 1);

        assertThat(verdict.code).isEqualTo(1);
        assertThat(verdict.said).contains("2 found, 1 listed");
    }

    @Test
    void anotherFileOrCheckIsNoExcuse() throws Exception {
        assertThat(judge("NeedBraces a/Two.java 2").said).contains("2 found, 0 listed");
        assertThat(judge("FileLength a/One.java 2").said).contains("2 found, 0 listed");
    }

    @Test
    void anEntryThatIsNotNeededFails() throws Exception {
        Verdict verdict = judge(BRACES + 2, "FileLength a/One.java 1");

        assertThat(verdict.code).isEqualTo(1);
        assertThat(verdict.said).contains("FileLength a/One.java: exception not needed");
    }

    @Test
    void aCountThatIsTooHighFails() throws Exception {
        Verdict verdict = judge(BRACES + 3);

        assertThat(verdict.code).isEqualTo(1);
        assertThat(verdict.said).contains("3 listed, lower it to 2");
    }

    @Test
    void listAndReportThatCannotBeUsedFail() throws Exception {
        assertThat(judge("NeedBraces a/One.java").code).isEqualTo(2);
        assertThat(judge(BRACES + 2, BRACES + 2).code).isEqualTo(2);
        Files.writeString(report, "<checkstyle/>");
        assertThat(judge(BRACES + 2).code).isEqualTo(2);
    }

    @Test
    void aListThatIsWrittenAnewPasses() throws Exception {
        assertThat(run("--write").code).isZero();
        assertThat(Files.readString(list)).endsWith("\n" + BRACES + "2\n");
        assertThat(run().code).isZero();
    }

    private void reportOf(String path, String... checks) throws Exception {
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

    private Verdict judge(String... lines) throws Exception {
        Files.writeString(list, String.join("\n", lines) + "\n");
        return run();
    }

    private Verdict run(String... options) throws Exception {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add(Path.of("checks", "CheckExceptions.java").toString());
        command.addAll(List.of(options));
        command.addAll(List.of(report.toString(), list.toString(), root.toString()));
        Path said = root.resolve("said.txt");
        Process process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(said.toFile())
                        .start();
        assertThat(process.waitFor(60, TimeUnit.SECONDS)).isTrue();
        return new Verdict(process.exitValue(), Files.readString(said));
    }
}
