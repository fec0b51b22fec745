package ochretiller.idempotency.durable;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DurabilityPolicyTest {
    private final DurabilityPolicy memory =
            new DurabilityPolicy(
                    new DurabilityTimeouts(ms(400), ms(500), ms(100), ms(200), ms(1_000)),
                    new SplittableRandom(1));

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    private static IdempotencyRecord mark(IdempotencyRecord.Progress state, long markedAt) {
        return new IdempotencyRecord(state, "5c0f", "order", "9b1f", new byte[32], markedAt, 9_000);
    }

    @Test
    void oldAppendCountsAsAStallUntilItIsOver() {
        memory.appendStarted(1, ms(0));
        memory.appendStarted(2, ms(90));
        assertThat(memory.acceptsNewKeys(ms(100))).isTrue();
        assertThat(memory.diskHealth(ms(101))).isEqualTo(DurabilityPolicy.DiskHealth.STALLED);
        assertThat(memory.acceptsNewKeys(ms(101))).isFalse();
        memory.appendCompleted(1);
        assertThat(memory.diskHealth(ms(101))).isEqualTo(DurabilityPolicy.DiskHealth.HEALTHY);
        assertThat(memory.oldestAppendAge(ms(101))).isEqualTo(ms(11));
        memory.appendCompleted(2);
        assertThat(memory.acceptsNewKeys(ms(10_000))).isTrue();
    }

    @Test
    void withoutRoomNothingNewIsKept() {
        memory.storeStatusChanged(true, false, ms(0));
        assertThat(memory.acceptsNewKeys(ms(1))).isFalse();
        assertThat(memory.diskHealth(ms(1))).isEqualTo(DurabilityPolicy.DiskHealth.HEALTHY);
        memory.storeStatusChanged(true, true, ms(2));
        assertThat(memory.acceptsNewKeys(ms(3))).isTrue();
    }

    @Test
    void sickDiskIsTriedLessAndLessOftenAndServesAgainOnceWell() {
        memory.storeStatusChanged(false, true, ms(0));
        assertThat(memory.diskHealth(ms(0))).isEqualTo(DurabilityPolicy.DiskHealth.UNAVAILABLE);
        assertThat(memory.startProbeIfDue(ms(149)))
                .isFalse(); // a quarter under the first pause is the least that chance makes of it
        Duration at = ms(251);
        long last = 0;
        for (int i = 0; i < 6; i++) {
            assertThat(memory.startProbeIfDue(at)).isTrue();
            assertThat(memory.startProbeIfDue(at)).as("one at a time").isFalse();
            memory.probeFailed(at);
            long pause = 1;
            while (!memory.startProbeIfDue(at.plus(ms(pause)))) {
                pause++;
            }
            assertThat(pause).isBetween(150L, 1_250L);
            if (i < 2) {
                assertThat(pause).isGreaterThan(last);
            }
            last = pause;
            memory.probeFailed(at.plus(ms(pause)));
            at = at.plus(ms(pause + 1_251));
        }
        memory.storeStatusChanged(true, true, at);
        assertThat(memory.acceptsNewKeys(at)).isTrue();
        assertThat(memory.startProbeIfDue(at.plus(ms(5_000)))).isFalse();
    }

    @Test
    void damageThatMayHideAMarkStopsNewOnesForItsTime() {
        memory.suspendNewKeysUntil(ms(17_364));
        assertThat(memory.acceptsNewKeys(ms(17_363))).isFalse();
        assertThat(memory.acceptsNewKeys(ms(17_364))).isTrue();
    }

    @ParameterizedTest
    @CsvSource({
        "10000,0,400,500",
        "600,300,180,180",
        "500,300,80,80",
        "500,380,0,0",
        "500,900,0,0"
    })
    void nobodyWaitsLongerThanItsDueTime(long due, long now, long mark, long answer) {
        assertThat(memory.markerTimeout(ms(due), ms(now))).isEqualTo(ms(mark));
        assertThat(memory.answerTimeout(ms(due), ms(now))).isEqualTo(ms(answer));
    }

    @Test
    void answersDoNotWaitForASickDisk() {
        memory.storeStatusChanged(false, true, ms(0));
        assertThat(memory.answerTimeout(ms(10_000), ms(0))).isZero();
    }

    @Test
    void whatARestartFindsIsNeverRunAgain() {
        assertThat(
                        DurabilityPolicy.decideRecovery(
                                mark(IdempotencyRecord.Progress.SUCCEEDED, 100), 0))
                .isEqualTo(DurabilityPolicy.RecoveryDecision.REPLAY);
        assertThat(
                        DurabilityPolicy.decideRecovery(
                                mark(IdempotencyRecord.Progress.ENDED_WITHOUT_RESULT, 100), 0))
                .isEqualTo(DurabilityPolicy.RecoveryDecision.REJECT);
        assertThat(
                        DurabilityPolicy.decideRecovery(
                                mark(IdempotencyRecord.Progress.IN_FLIGHT, 100), 99))
                .isEqualTo(DurabilityPolicy.RecoveryDecision.AWAIT_OUTCOME);
        assertThat(
                        DurabilityPolicy.decideRecovery(
                                mark(IdempotencyRecord.Progress.IN_FLIGHT, 100), 100))
                .isEqualTo(DurabilityPolicy.RecoveryDecision.AWAIT_OUTCOME);
        assertThat(
                        DurabilityPolicy.decideRecovery(
                                mark(IdempotencyRecord.Progress.IN_FLIGHT, 100), 101))
                .isEqualTo(DurabilityPolicy.RecoveryDecision.REJECT);
    }

    @Test
    void marksAreReadAsTheyWereWritten() {
        SplittableRandom chance = new SplittableRandom(5);
        for (IdempotencyRecord.Progress state : IdempotencyRecord.Progress.values()) {
            byte[] body = new byte[32];
            chance.nextBytes(body);
            IdempotencyRecord mark =
                    new IdempotencyRecord(
                            state,
                            "tok\u00e9n",
                            "place order",
                            "9b1f03aa5c7e2d41",
                            body,
                            -5,
                            Long.MAX_VALUE);
            IdempotencyRecord read =
                    IdempotencyRecord.decode(mark.encodeKey(), mark.encodeMetadata());
            assertThat(read).usingRecursiveComparison().isEqualTo(mark);
            assertThat(read.hasBodyDigest(body)).isTrue();
            assertThat(read.hasBodyDigest(new byte[32])).isFalse();
        }
    }

    @Test
    void bytesOfNoMarkAreNone() {
        SplittableRandom chance = new SplittableRandom(6);
        byte[] good = mark(IdempotencyRecord.Progress.IN_FLIGHT, 1).encodeMetadata();
        for (int length = 0; length < good.length; length++) {
            assertThat(IdempotencyRecord.decode(new byte[4], java.util.Arrays.copyOf(good, length)))
                    .as("length " + length)
                    .isNull();
        }
        for (int i = 0; i < 10_000; i++) {
            byte[] noise = new byte[chance.nextInt(256)];
            chance.nextBytes(noise);
            IdempotencyRecord.decode(new byte[4], noise); // does not throw
        }
    }

    @Test
    void longestNamesStillFit() {
        assertThat(IdempotencyRecord.namesFit("o".repeat(100), "r".repeat(50))).isTrue();
        assertThat(IdempotencyRecord.namesFit("o".repeat(101), "r")).isFalse();
        assertThat(IdempotencyRecord.namesFit("o", "r".repeat(51))).isFalse();
        IdempotencyRecord longest =
                new IdempotencyRecord(
                        IdempotencyRecord.Progress.IN_FLIGHT,
                        "t",
                        "o".repeat(100),
                        "r".repeat(50),
                        new byte[32],
                        0,
                        0);
        assertThat(longest.encodeMetadata().length).isLessThanOrEqualTo(255);
    }
}
