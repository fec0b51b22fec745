package ochretiller.text;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class JsonTest {
    private static Object read(String text) {
        return new Json(Slice.of(text)).parse();
    }

    @Test
    void parsesAllTypesOfValues() {
        assertThat(read(" {\"a\":[1,-2.5,1e3,true,false,null,\"\"],\"b\":{}} "))
                .isEqualTo(
                        Map.of(
                                "a",
                                List.of(1L, -2.5, 1000.0, true, false, Json.NULL, ""),
                                "b",
                                Map.of()));
    }

    @Test
    void parsesEscapesAndUtf8() {
        assertThat(read("\"\\\"\\\\\\/\\b\\f\\n\\r\\t\\u00e8 \u00e8\""))
                .isEqualTo("\"\\/\b\f\n\r\t\u00e8 \u00e8");
    }

    @Test
    void parsesOnlyTheSlice() {
        Slice text = Slice.of("xx[1]yy");
        assertThat(new Json(new Slice(text.bytes(), 2, 5)).parse()).isEqualTo(List.of(1L));
    }

    @Test
    void membersParsedBeforeAnErrorAreAvailable() {
        Json json = new Json(Slice.of("{\"id\":7,\"inner\":{\"id\":8},\"x\":"));
        assertThatThrownBy(json::parse).isInstanceOf(BadInputException.class);
        assertThat(json.members()).containsEntry("id", 7L);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "[1",
                "[1,]",
                "{\"a\"}",
                "{\"a\":1,}",
                "{a:1}",
                "01",
                "1.",
                ".5",
                "+1",
                "-",
                "1e",
                "NaN",
                "tru",
                "\"",
                "\"\\",
                "\"\\x\"",
                "\"\\u12g4\"",
                "\"\\u12",
                "\"a\nb\"",
                "1 2",
                "{}x",
                "'a'"
            })
    void rejectsInvalidJson(String text) {
        assertThatThrownBy(() -> read(text)).isInstanceOf(BadInputException.class);
    }

    @Test
    void rejectsInvalidUtf8() {
        assertThatThrownBy(
                        () -> new Json(new Slice(new byte[] {'"', (byte) 0xff, '"'}, 0, 3)).parse())
                .isInstanceOf(BadInputException.class);
    }

    @Test
    void rejectsDeepNesting() {
        assertThatThrownBy(() -> read("[".repeat(100_000))).isInstanceOf(BadInputException.class);
    }
}
