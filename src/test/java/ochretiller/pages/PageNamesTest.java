package ochretiller.pages;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests that each class that a page names in backticks is declared or imported in the code. */
class PageNamesTest {
    private static final Pattern QUOTED = Pattern.compile("`([^`\n]+)`");

    /** A class name in UpperCamelCase, optionally with packages before and a member after it. */
    private static final Pattern CLASS_NAME =
            Pattern.compile("((?:[a-z]\\w*\\.)*)([A-Z][a-z0-9]+(?:[A-Z][a-z0-9]*)*)(\\.\\S+)?");

    private static final Pattern DECLARED =
            Pattern.compile("\\b(?:class|interface|record|enum)\\s+([A-Z]\\w*)");
    private static final Pattern IMPORTED =
            Pattern.compile("^import (?:static )?([\\w.]+);", Pattern.MULTILINE);
    private static final Pattern PACKAGE =
            Pattern.compile("^package ([\\w.]+);", Pattern.MULTILINE);

    private static final Set<String> CLASSES = new HashSet<>();

    /** Fully qualified class names, such as {@code ochretiller.net.CloseCode}. */
    private static final Set<String> QUALIFIED = new HashSet<>();

    @BeforeAll
    static void readSources() {
        for (String source :
                SourceTree.texts(
                        "src/main/java",
                        "src/test/java",
                        "emulator/src",
                        "drill/src",
                        "tools/src")) {
            String packageName =
                    PACKAGE.matcher(source)
                            .results()
                            .map(found -> found.group(1))
                            .findFirst()
                            .orElse("");
            DECLARED.matcher(source)
                    .results()
                    .map(found -> found.group(1))
                    .forEach(
                            name -> {
                                CLASSES.add(name);
                                QUALIFIED.add(packageName + '.' + name);
                            });
            IMPORTED.matcher(source)
                    .results()
                    .map(found -> found.group(1))
                    .forEach(name -> CLASSES.add(name.substring(name.lastIndexOf('.') + 1)));
        }
    }

    private static List<Path> pages() throws IOException {
        List<Path> pages =
                new ArrayList<>(
                        List.of(
                                Path.of("README.md"),
                                Path.of("CONTRIBUTING.md"),
                                Path.of("CHANGELOG.md")));
        try (Stream<Path> docs = Files.list(Path.of("docs"))) {
            docs.filter(file -> file.toString().endsWith(".md")).sorted().forEach(pages::add);
        }
        return pages;
    }

    private static boolean exists(MatchResult name) {
        String packagePrefix = name.group(1);
        if (packagePrefix.isEmpty()) {
            return CLASSES.contains(name.group(2));
        }
        String qualified = packagePrefix + name.group(2);
        return QUALIFIED.contains(qualified) || QUALIFIED.contains("ochretiller." + qualified);
    }

    @Test
    void classesNamedByPagesExistInTheCode() throws IOException {
        List<String> unknown = new ArrayList<>();
        int count = 0;
        for (Path page : pages()) {
            for (MatchResult quoted : QUOTED.matcher(SourceTree.text(page)).results().toList()) {
                var name = CLASS_NAME.matcher(quoted.group(1));
                if (name.matches()) {
                    count++;
                    if (!exists(name.toMatchResult())) {
                        unknown.add(page + ": " + quoted.group(1));
                    }
                }
            }
        }
        assertThat(unknown).as("named by a page, not in the code").isEmpty();
        assertThat(count).as("classes named by pages").isGreaterThan(50);
    }
}
