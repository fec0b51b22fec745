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
 * Each exit code, error, close code, log line and metric that {@code docs/oncall.md} names is
 * written by the program. They stand in backticks in the first column of the table below the
 * section's title.
 */
class OnCallPageTest {
    private static final String PAGE = SourceTree.text(Path.of("docs/oncall.md"));
    private static final Pattern QUOTED = Pattern.compile("`([^`]+)`");

    private static String section(String title) {
        String heading = "\n## " + title + "\n";
        assertThat(PAGE).contains(heading);
        String behind = PAGE.substring(PAGE.indexOf(heading) + heading.length());
        int next = behind.indexOf("\n## ");
        return next < 0 ? behind : behind.substring(0, next);
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

    private static List<String> without(MessageTemplates written, List<String> quoted) {
        assertThat(written.size()).as("messages found in the sources").isGreaterThan(20);
        return quoted.stream().filter(line -> !written.contain(line)).toList();
    }

    @Test
    void logLinesAreWrittenByALogCall() {
        MessageTemplates written =
                MessageTemplates.of(MessageTemplates.LOG_CALL, SourceTree.texts("src/main/java"));
        assertThat(without(written, firstColumn("Log lines"))).as("no log call writes").isEmpty();
    }

    @Test
    void errorsAtTheStartAreMessagesOfExceptions() {
        MessageTemplates written =
                MessageTemplates.of(MessageTemplates.EXCEPTION, SourceTree.texts("src/main/java"));
        assertThat(without(written, firstColumn("Errors at the start")))
                .as("no exception says")
                .isEmpty();
    }

    @Test
    void closeCodesAreThoseOfConnections() {
        assertThat(firstColumn("Close codes"))
                .containsExactlyInAnyOrderElementsOf(
                        Arrays.stream(CloseCode.values()).map(CloseCode::externalName).toList());
    }

    @Test
    void exitCodesAreThoseOfTheReadme() {
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
    void metricsAreThoseThatAServerPublishes() {
        String pinned =
                SourceTree.text(Path.of("src/test/resources/ochretiller/golden/metrics.txt"));
        assertThat(
                        Pattern.compile("^# TYPE (\\w+) ", Pattern.MULTILINE)
                                .matcher(pinned)
                                .results()
                                .map((MatchResult line) -> line.group(1))
                                .collect(Collectors.toSet()))
                .containsAll(firstColumn("Metrics"));
    }

    @Test
    void aLineThatNoCallWritesIsFound() {
        MessageTemplates written =
                MessageTemplates.of(
                        MessageTemplates.LOG_CALL,
                        List.of(
                                "LOG.info(() -> \"link \" + peer + \" is \" + (up ? \"up\" :"
                                        + " \"down\"));",
                                "LOG.log(Level.SEVERE, \"fault\", e);"));
        assertThat(written.contain("link ... is up")).isTrue();
        assertThat(written.contain("link ADDRESS is down")).isTrue();
        assertThat(written.contain("link ... is ...")).isTrue();
        assertThat(written.contain("fault")).isTrue();
        assertThat(written.contain("link ... is idle")).isFalse();
        assertThat(written.contain("link ... went ...")).isFalse();
        assertThat(written.contain("faults")).isFalse();
        assertThat(written.contain("...")).isFalse();
    }
}
