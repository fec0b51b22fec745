package ochretiller.paths;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import ochretiller.settings.MalformedException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class PathPatternTest {
    @ParameterizedTest
    @CsvSource({
        "/,/,true",
        "/,/a,false",
        "/orders,/orders,true",
        "/orders,/orders/,false",
        "/orders/{id},/orders/7,true",
        "/orders/{id},/orders/,false",
        "/orders/{id},/orders/7/lines,false",
        "/orders/{id}/lines,/orders/7/lines,true",
        "/files/**,/files,true",
        "/files/**,/files/a/b,true",
        "/files/**,/file,false",
        "/**,/,true",
        "/**,/a//b,true",
        "/a,a,false",
        "/a,'',false",
        "/{a}/{b},/x/y,true"
    })
    void matches(String pattern, String path, boolean matches) {
        assertThat(PathPattern.parse(pattern).matches(path)).isEqualTo(matches);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "orders",
                "/or ders",
                "/{id",
                "/id}",
                "/{}",
                "/{7}",
                "/a?b",
                "/**/a",
                "/a/**b",
                "//",
                "/a/"
            })
    void errorForAnInvalidPatternNamesIt(String pattern) {
        assertThatThrownBy(() -> PathPattern.parse(pattern))
                .isInstanceOf(MalformedException.class)
                .hasMessageContaining("'" + pattern + "'");
    }

    /** Checks covers and overlaps against matching all paths of up to five segments. */
    @Test
    void coversAndOverlapsAgreeWithMatchingAllPaths() {
        String[] parts = {"a", "b", "{x}", "**"};
        List<PathPattern> patterns = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 120; i++) {
            StringBuilder text = new StringBuilder();
            int length = random.nextInt(4);
            for (int n = 0; n < length; n++) {
                text.append('/').append(parts[random.nextInt(n == length - 1 ? 4 : 3)]);
            }
            patterns.add(PathPattern.parse(text.length() == 0 ? "/" : text.toString()));
        }
        List<String> paths = new ArrayList<>(List.of("/"));
        for (int from = 0, depth = 0; depth < 5; depth++) {
            int to = paths.size();
            for (; from < to; from++) {
                for (String part : new String[] {"a", "b", "c"}) {
                    paths.add((paths.get(from).equals("/") ? "" : paths.get(from)) + "/" + part);
                }
            }
        }
        for (PathPattern one : patterns) {
            for (PathPattern other : patterns) {
                String pair = one.text() + " and " + other.text();
                assertThat(one.overlaps(other))
                        .as(pair)
                        .isEqualTo(
                                paths.stream()
                                        .anyMatch(
                                                path -> one.matches(path) && other.matches(path)));
                assertThat(one.covers(other))
                        .as(pair)
                        .isEqualTo(
                                paths.stream()
                                        .allMatch(
                                                path -> !other.matches(path) || one.matches(path)));
            }
        }
    }
}
