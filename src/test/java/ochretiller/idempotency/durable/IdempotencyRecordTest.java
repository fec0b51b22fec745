package ochretiller.idempotency.durable;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class IdempotencyRecordTest {
    private static IdempotencyRecord record(InvocationProgress progress, long markedAtMillis) {
        return new IdempotencyRecord(
                progress, "5c0f", "order", "9b1f", new byte[32], markedAtMillis, 9_000);
    }

    @Test
    void recoveryDecisionDependsOnProgressAndProcessorStart() {
        IdempotencyRecord succeeded = record(InvocationProgress.SUCCEEDED, 100);
        IdempotencyRecord ended = record(InvocationProgress.ENDED_WITHOUT_RESULT, 100);
        IdempotencyRecord inFlight = record(InvocationProgress.IN_FLIGHT, 100);
        assertThat(RecoveryDecision.of(succeeded, 0)).isEqualTo(RecoveryDecision.REPLAY);
        assertThat(RecoveryDecision.of(ended, 0)).isEqualTo(RecoveryDecision.REJECT);
        assertThat(RecoveryDecision.of(inFlight, 99)).isEqualTo(RecoveryDecision.AWAIT_OUTCOME);
        assertThat(RecoveryDecision.of(inFlight, 100)).isEqualTo(RecoveryDecision.AWAIT_OUTCOME);
        assertThat(RecoveryDecision.of(inFlight, 101)).isEqualTo(RecoveryDecision.REJECT);
    }

    @Test
    void recordsAreDecodedAsTheyWereEncoded() {
        SplittableRandom random = new SplittableRandom(5);
        for (InvocationProgress progress : InvocationProgress.values()) {
            byte[] digest = new byte[32];
            random.nextBytes(digest);
            IdempotencyRecord record =
                    new IdempotencyRecord(
                            progress,
                            "tok\u00e9n",
                            "place order",
                            "9b1f03aa5c7e2d41",
                            digest,
                            -5,
                            Long.MAX_VALUE);
            IdempotencyRecord decoded =
                    IdempotencyRecord.decode(record.encodeKey(), record.encodeMetadata())
                            .orElseThrow();
            assertThat(decoded).usingRecursiveComparison().isEqualTo(record);
            assertThat(decoded.hasBodyDigest(digest)).isTrue();
            assertThat(decoded.hasBodyDigest(new byte[32])).isFalse();
        }
    }

    @Test
    void invalidMetadataIsRejected() {
        SplittableRandom random = new SplittableRandom(6);
        byte[] metadata = record(InvocationProgress.IN_FLIGHT, 1).encodeMetadata();
        for (int length = 0; length < metadata.length; length++) {
            assertThat(IdempotencyRecord.decode(new byte[4], Arrays.copyOf(metadata, length)))
                    .as("length " + length)
                    .isEmpty();
        }
        for (int i = 0; i < 10_000; i++) {
            byte[] noise = new byte[random.nextInt(256)];
            random.nextBytes(noise);
            IdempotencyRecord.decode(new byte[4], noise); // must not throw
        }
    }

    @Test
    void recordWithTheLongestNamesFitsTheStoreMetadata() {
        assertThat(IdempotencyRecord.canStoreNames("o".repeat(100), "r".repeat(50))).isTrue();
        assertThat(IdempotencyRecord.canStoreNames("o".repeat(101), "r")).isFalse();
        assertThat(IdempotencyRecord.canStoreNames("o", "r".repeat(51))).isFalse();
        IdempotencyRecord longest =
                new IdempotencyRecord(
                        InvocationProgress.IN_FLIGHT,
                        "t",
                        "o".repeat(100),
                        "r".repeat(50),
                        new byte[32],
                        0,
                        0);
        assertThat(longest.encodeMetadata().length).isLessThanOrEqualTo(255);
    }
}
