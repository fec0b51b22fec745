package ochretiller.audit;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** ChainVerifier detects each change of a chain. */
class HashChainTest {
    private static List<ChainedRecord> chain(int count, String text) {
        HashChain chain = HashChain.empty();
        List<ChainedRecord> records = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            records.add(chain.append((text + i).getBytes(StandardCharsets.UTF_8)));
        }
        return records;
    }

    private static List<ChainedRecord> chain(int count) {
        return chain(count, "record ");
    }

    private static ChainHead head(ChainedRecord record) {
        return HashChain.resumeAfter(record).head();
    }

    private static byte[] flipped(byte[] bytes, int index) {
        byte[] changed = bytes.clone();
        changed[index] ^= 1;
        return changed;
    }

    @Test
    void unchangedChainHasNoFault() {
        List<ChainedRecord> records = chain(6);
        List<ChainHead> known = List.of(head(records.get(2)), head(records.get(5)));
        assertThat(ChainVerifier.verify(records, known)).isEmpty();
        List<ChainHead> olderKnown = List.of(head(records.get(0)), head(records.get(4)));
        assertThat(ChainVerifier.verify(records.subList(3, 6), olderKnown))
                .as("old records may be deleted")
                .isEmpty();
        HashChain continued = HashChain.resumeAfter(records.get(5));
        records.add(continued.append(new byte[] {7}));
        assertThat(ChainVerifier.verify(records, List.of(continued.head())))
                .as("the chain continues after a restart")
                .isEmpty();
    }

    @Test
    void eachChangedByteIsDetected() {
        List<ChainedRecord> original = chain(4);
        for (int index = 0; index < 4; index++) {
            ChainedRecord record = original.get(index);
            long number = record.number();
            byte[] previousHash = record.previousHash();
            byte[] hash = record.hash();
            byte[] body = record.body();
            for (int i = 0; i < body.length; i++) {
                ChainedRecord changed =
                        new ChainedRecord(number, previousHash, hash, flipped(body, i));
                assertThat(faults(original, index, changed)).isNotEmpty();
            }
            for (int i = 0; i < HashChain.HASH_BYTES; i++) {
                ChainedRecord changedPrevious =
                        new ChainedRecord(number, flipped(previousHash, i), hash, body);
                assertThat(faults(original, index, changedPrevious)).isNotEmpty();
                ChainedRecord changedHash =
                        new ChainedRecord(number, previousHash, flipped(hash, i), body);
                assertThat(faults(original, index, changedHash)).isNotEmpty();
            }
            ChainedRecord renumbered = new ChainedRecord(number + 1, previousHash, hash, body);
            assertThat(faults(original, index, renumbered)).isNotEmpty();
        }
    }

    private static List<ChainFault> faults(
            List<ChainedRecord> original, int index, ChainedRecord replacement) {
        List<ChainedRecord> records = new ArrayList<>(original);
        records.set(index, replacement);
        return ChainVerifier.verify(records, List.of(head(original.get(3))));
    }

    @Test
    void missingSwappedAndLostRecordsAreDetected() {
        List<ChainedRecord> records = chain(6);
        ChainHead last = head(records.get(5));
        List<ChainedRecord> gap = new ArrayList<>(records);
        gap.remove(2);
        assertThat(ChainVerifier.verify(gap, List.of()))
                .extracting(ChainFault::description)
                .anyMatch(text -> text.contains("1 records are missing"));
        List<ChainedRecord> swapped = new ArrayList<>(records);
        swapped.set(2, records.get(3));
        swapped.set(3, records.get(2));
        assertThat(ChainVerifier.verify(swapped, List.of())).isNotEmpty();
        assertThat(ChainVerifier.verify(records.subList(0, 4), List.of(last)))
                .extracting(ChainFault::description)
                .anyMatch(text -> text.contains("the last 2 records are lost"));
        assertThat(ChainVerifier.verify(List.of(), List.of(last)))
                .as("all records are lost")
                .isNotEmpty();
    }

    @Test
    void rewrittenChainIsDetectedByAKnownHead() {
        ChainHead last = head(chain(6).get(5));
        List<ChainedRecord> forged = chain(6, "forged ");
        assertThat(ChainVerifier.verify(forged, List.of())).as("its hashes match").isEmpty();
        assertThat(ChainVerifier.verify(forged, List.of(last)))
                .extracting(ChainFault::description)
                .containsExactly("others know it otherwise");
    }
}
