package ochretiller.remembered;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashMap;
import java.util.Map;
import ochretiller.golden.GoldenFile;
import org.junit.jupiter.api.Test;

/** What the store holds of a keyed invocation beside its result, as it is on disk. */
class MarkGoldenTest {
    private static final GoldenFile MARKS = new GoldenFile("marks");

    private static Mark mark(Mark.State state) {
        byte[] body = new byte[32];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) (i + 1);
        }
        return new Mark(state, "a token", "caf\u00e9", "rid-1", body, 1_000, 61_000);
    }

    private static Map<String, Mark> marks() {
        Map<String, Mark> marks = new LinkedHashMap<>();
        marks.put("marked", mark(Mark.State.MARKED));
        marks.put("succeeded", mark(Mark.State.SUCCEEDED));
        marks.put("lost", mark(Mark.State.LOST));
        return marks;
    }

    @Test
    void eachMarkIsWrittenAsItsGoldenBytes() {
        Map<String, byte[]> written = new LinkedHashMap<>();
        marks().forEach((name, mark) -> written.put(name, mark.meta()));
        MARKS.assertHolds(written);
        assertThat(mark(Mark.State.MARKED).key()).asHexString().isEqualTo("6120746F6B656E");
    }

    @Test
    void eachGoldenMarkIsReadBack() {
        marks().forEach(
                        (name, mark) ->
                                assertThat(Mark.of(mark.key(), MARKS.bytes(name)))
                                        .as(name)
                                        .usingRecursiveComparison()
                                        .isEqualTo(mark));
    }

    @Test
    void eachStateHasAGoldenMark() {
        assertThat(marks().values()).extracting(Mark::state).contains(Mark.State.values());
    }
}
