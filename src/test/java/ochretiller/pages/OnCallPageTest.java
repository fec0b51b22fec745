package ochretiller.pages;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import ochretiller.net.CloseCode;
import org.junit.jupiter.api.Test;

/**
 * Tests that the program writes each exit code, error, close code, log line and metric listed in
 * {@code docs/oncall.md}. The page quotes them in backticks in the first column of each section's
 * table.
 */
class OnCallPageTest {
    private static final String PAGE = SourceTree.text(Path.of("docs/oncall.md"));
    private static final Pattern QUOTED = Pattern.compile("`([^`]+)`");

    private static String section(String title) {
        String heading = "\n## " + title + "\n";
        assertThat(PAGE).contains(heading);
        String rest = PAGE.substring(PAGE.indexOf(heading) + heading.length());
        int next = rest.indexOf("\n## ");
        return next < 0 ? rest : rest.substring(0, next);
    }

    private static List<String> firstColumn(String title) {
        List<String> quoted =
                section(title)
                        .lines()
                        .filter(line -> line.startsWith("| "))
                        .map(line -> line.split(" \\| ", 2)[0])
                        .flatMap(cell -> QUOTED.matcher(cell).results())
                        .map(found -> found.group(1))
                        .toList();
        assertThat(quoted).as(title).isNotEmpty().doesNotHaveDuplicates();
        return quoted;
    }

    private static List<String> missing(MessageTemplates templates, List<String> quoted) {
        assertThat(templates.size()).as("messages found in the sources").isGreaterThan(20);
        return quoted.stream().filter(line -> !templates.matches(line)).toList();
    }

    @Test
    void logLinesAreWrittenByALogCall() {
        MessageTemplates templates =
                MessageTemplates.of(MessageTemplates.LOG_CALL, SourceTree.texts("src/main/java"));
        assertThat(missing(templates, firstColumn("Log lines"))).as("no log call writes").isEmpty();
    }

    @Test
    void startupErrorsAreExceptionMessages() {
        MessageTemplates templates =
                MessageTemplates.of(MessageTemplates.EXCEPTION, SourceTree.texts("src/main/java"));
        assertThat(missing(templates, firstColumn("Errors at the start")))
                .as("no exception has the message")
                .isEmpty();
    }

    @Test
    void closeCodesMatchTheEnum() {
        assertThat(firstColumn("Close codes"))
                .containsExactlyInAnyOrderElementsOf(
                        Arrays.stream(CloseCode.values()).map(CloseCode::externalName).toList());
    }

    @Test
    void exitCodesMatchTheReadme() {
        String readme = SourceTree.text(Path.of("README.md"));
        String table = readme.substring(readme.indexOf("| exit code | meaning |"));
        assertThat(firstColumn("Exit codes"))
                .containsExactlyElementsOf(
                        Pattern.compile("^\\| (\\d) \\|", Pattern.MULTILINE)
                                .matcher(table)
                                .results()
                                .map(row -> row.group(1))
                                .toList());
    }

    @Test
    void metricsArePublishedByAServer() {
        String golden =
                SourceTree.text(Path.of("src/test/resources/ochretiller/golden/metrics.txt"));
        assertThat(
                        Pattern.compile("^# TYPE (\\w+) ", Pattern.MULTILINE)
                                .matcher(golden)
                                .results()
                                .map((MatchResult line) -> line.group(1))
                                .collect(Collectors.toSet()))
                .containsAll(firstColumn("Metrics"));
    }

    @Test
    void quotationThatNoLogCallWritesIsDetected() {
        MessageTemplates templates =
                MessageTemplates.of(
                        MessageTemplates.LOG_CALL,
                        List.of(
                                "LOG.info(() -> \"link \" + peer + \" is \" + (up ? \"up\" :"
                                        + " \"down\"));",
                                "LOG.log(Level.SEVERE, \"fault\", e);"));
        assertThat(templates.matches("link ... is up")).isTrue();
        assertThat(templates.matches("link ADDRESS is down")).isTrue();
        assertThat(templates.matches("link ... is ...")).isTrue();
        assertThat(templates.matches("fault")).isTrue();
        assertThat(templates.matches("link ... is idle")).isFalse();
        assertThat(templates.matches("link ... went ...")).isFalse();
        assertThat(templates.matches("faults")).isFalse();
        assertThat(templates.matches("...")).isFalse();
    }
}
