package ochretiller.idempotency.durable;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.LinkedHashMap;
import java.util.Map;
import ochretiller.golden.GoldenFile;
import org.junit.jupiter.api.Test;

/** Compares the stored form of a keyed invocation, without its result, with golden bytes. */
class IdempotencyRecordGoldenTest {
    private static final GoldenFile RECORDS = new GoldenFile("marks");

    private static IdempotencyRecord record(InvocationProgress progress) {
        byte[] digest = new byte[32];
        for (int i = 0; i < digest.length; i++) {
            digest[i] = (byte) (i + 1);
        }
        return new IdempotencyRecord(
                progress, "a token", "caf\u00e9", "rid-1", digest, 1_000, 61_000);
    }

    private static Map<String, IdempotencyRecord> records() {
        Map<String, IdempotencyRecord> records = new LinkedHashMap<>();
        records.put("marked", record(InvocationProgress.IN_FLIGHT));
        records.put("succeeded", record(InvocationProgress.SUCCEEDED));
        records.put("lost", record(InvocationProgress.ENDED_WITHOUT_RESULT));
        return records;
    }

    @Test
    void recordsEncodeToTheirGoldenBytes() {
        Map<String, byte[]> encoded = new LinkedHashMap<>();
        records().forEach((name, record) -> encoded.put(name, record.encodeMetadata()));
        RECORDS.assertMatches(encoded);
        assertThat(record(InvocationProgress.IN_FLIGHT).encodeKey())
                .asHexString()
                .isEqualTo("6120746F6B656E");
    }

    @Test
    void goldenRecordsAreDecoded() {
        records()
                .forEach(
                        (name, record) ->
                                assertThat(
                                                IdempotencyRecord.decode(
                                                        record.encodeKey(), RECORDS.bytes(name)))
                                        .as(name)
                                        .get()
                                        .usingRecursiveComparison()
                                        .isEqualTo(record));
    }

    @Test
    void eachProgressHasAGoldenRecord() {
        assertThat(records().values())
                .extracting(IdempotencyRecord::progress)
                .contains(InvocationProgress.values());
    }
}
