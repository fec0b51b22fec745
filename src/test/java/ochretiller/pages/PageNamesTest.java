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

/** Each class that a page names in backticks is declared or imported by this repository's code. */
class PageNamesTest {
    private static final Pattern QUOTED = Pattern.compile("`([^`\n]+)`");

    /** A class in UpperCamelCase, with packages before it and a member behind it, if any. */
    private static final Pattern CLASS_NAME =
            Pattern.compile("((?:[a-z]\\w*\\.)*)([A-Z][a-z0-9]+(?:[A-Z][a-z0-9]*)*)(\\.\\S+)?");

    private static final Pattern DECLARED =
            Pattern.compile("\\b(?:class|interface|record|enum)\\s+([A-Z]\\w*)");
    private static final Pattern IMPORTED =
            Pattern.compile("^import (?:static )?([\\w.]+);", Pattern.MULTILINE);
    private static final Pattern PACKAGE =
            Pattern.compile("^package ([\\w.]+);", Pattern.MULTILINE);

    private static final Set<String> CLASSES = new HashSet<>();

    /** Classes with all of their package, such as {@code ochretiller.net.CloseCode}. */
    private static final Set<String> QUALIFIED = new HashSet<>();

    @BeforeAll
    static void readTheCode() {
        for (String source :
                SourceTree.texts(
                        "src/main/java",
                        "src/test/java",
                        "emulator/src",
                        "drill/src",
                        "tools/src")) {
            String home =
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
                                QUALIFIED.add(home + '.' + name);
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
        String packages = name.group(1);
        if (packages.isEmpty()) {
            return CLASSES.contains(name.group(2));
        }
        String named = packages + name.group(2);
        return QUALIFIED.contains(named) || QUALIFIED.contains("ochretiller." + named);
    }

    @Test
    void classesThatPagesNameAreInTheCode() throws IOException {
        List<String> unknown = new ArrayList<>();
        int found = 0;
        for (Path page : pages()) {
            for (MatchResult quoted : QUOTED.matcher(SourceTree.text(page)).results().toList()) {
                var name = CLASS_NAME.matcher(quoted.group(1));
                if (name.matches()) {
                    found++;
                    if (!exists(name.toMatchResult())) {
                        unknown.add(page + ": " + quoted.group(1));
                    }
                }
            }
        }
        assertThat(unknown).as("named by a page, not in the code").isEmpty();
        assertThat(found).as("classes named by pages").isGreaterThan(50);
    }
}
