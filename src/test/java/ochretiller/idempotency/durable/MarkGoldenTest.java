package ochretiller.idempotency.durable;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashMap;
import java.util.Map;
import ochretiller.golden.GoldenFile;
import org.junit.jupiter.api.Test;

/** What the store holds of a keyed invocation beside its result, as it is on disk. */
class MarkGoldenTest {
    private static final GoldenFile MARKS = new GoldenFile("marks");

    private static IdempotencyRecord mark(IdempotencyRecord.Progress state) {
        byte[] body = new byte[32];
        for (int i = 0; i < body.length; i++) {
            body[i] = (byte) (i + 1);
        }
        return new IdempotencyRecord(state, "a token", "caf\u00e9", "rid-1", body, 1_000, 61_000);
    }

    private static Map<String, IdempotencyRecord> marks() {
        Map<String, IdempotencyRecord> marks = new LinkedHashMap<>();
        marks.put("marked", mark(IdempotencyRecord.Progress.IN_FLIGHT));
        marks.put("succeeded", mark(IdempotencyRecord.Progress.SUCCEEDED));
        marks.put("lost", mark(IdempotencyRecord.Progress.ENDED_WITHOUT_RESULT));
        return marks;
    }

    @Test
    void eachMarkIsWrittenAsItsGoldenBytes() {
        Map<String, byte[]> written = new LinkedHashMap<>();
        marks().forEach((name, mark) -> written.put(name, mark.encodeMetadata()));
        MARKS.assertHolds(written);
        assertThat(mark(IdempotencyRecord.Progress.IN_FLIGHT).encodeKey())
                .asHexString()
                .isEqualTo("6120746F6B656E");
    }

    @Test
    void eachGoldenMarkIsReadBack() {
        marks().forEach(
                        (name, mark) ->
                                assertThat(
                                                IdempotencyRecord.decode(
                                                        mark.encodeKey(), MARKS.bytes(name)))
                                        .as(name)
                                        .usingRecursiveComparison()
                                        .isEqualTo(mark));
    }

    @Test
    void eachStateHasAGoldenMark() {
        assertThat(marks().values())
                .extracting(IdempotencyRecord::progress)
                .contains(IdempotencyRecord.Progress.values());
    }
}
