package ochretiller.remembered;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MemoryTest {
    private final Memory memory =
            new Memory(
                    new Patience(ms(400), ms(500), ms(100), ms(200), ms(1_000)),
                    new SplittableRandom(1));

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    private static Mark mark(Mark.State state, long markedAt) {
        return new Mark(state, "5c0f", "order", "9b1f", new byte[32], markedAt, 9_000);
    }

    @Test
    void oldAppendCountsAsAStallUntilItIsOver() {
        memory.asked(1, ms(0));
        memory.asked(2, ms(90));
        assertThat(memory.keeps(ms(100))).isTrue();
        assertThat(memory.disk(ms(101))).isEqualTo(Memory.Disk.STALLED);
        assertThat(memory.keeps(ms(101))).isFalse();
        memory.acked(1);
        assertThat(memory.disk(ms(101))).isEqualTo(Memory.Disk.WELL);
        assertThat(memory.oldest(ms(101))).isEqualTo(ms(11));
        memory.acked(2);
        assertThat(memory.keeps(ms(10_000))).isTrue();
    }

    @Test
    void withoutRoomNothingNewIsKept() {
        memory.told(true, false, ms(0));
        assertThat(memory.keeps(ms(1))).isFalse();
        assertThat(memory.disk(ms(1))).isEqualTo(Memory.Disk.WELL);
        memory.told(true, true, ms(2));
        assertThat(memory.keeps(ms(3))).isTrue();
    }

    @Test
    void sickDiskIsTriedLessAndLessOftenAndServesAgainOnceWell() {
        memory.told(false, true, ms(0));
        assertThat(memory.disk(ms(0))).isEqualTo(Memory.Disk.SICK);
        assertThat(memory.tries(ms(149)))
                .isFalse(); // a quarter under the first pause is the least that chance makes of it
        Duration at = ms(251);
        long last = 0;
        for (int i = 0; i < 6; i++) {
            assertThat(memory.tries(at)).isTrue();
            assertThat(memory.tries(at)).as("one at a time").isFalse();
            memory.failedAgain(at);
            long pause = 1;
            while (!memory.tries(at.plus(ms(pause)))) {
                pause++;
            }
            assertThat(pause).isBetween(150L, 1_250L);
            if (i < 2) {
                assertThat(pause).isGreaterThan(last);
            }
            last = pause;
            memory.failedAgain(at.plus(ms(pause)));
            at = at.plus(ms(pause + 1_251));
        }
        memory.told(true, true, at);
        assertThat(memory.keeps(at)).isTrue();
        assertThat(memory.tries(at.plus(ms(5_000)))).isFalse();
    }

    @Test
    void damageThatMayHideAMarkStopsNewOnesForItsTime() {
        memory.blind(ms(17_364));
        assertThat(memory.keeps(ms(17_363))).isFalse();
        assertThat(memory.keeps(ms(17_364))).isTrue();
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
        assertThat(memory.markWait(ms(due), ms(now))).isEqualTo(ms(mark));
        assertThat(memory.answerWait(ms(due), ms(now))).isEqualTo(ms(answer));
    }

    @Test
    void answersDoNotWaitForASickDisk() {
        memory.told(false, true, ms(0));
        assertThat(memory.answerWait(ms(10_000), ms(0))).isZero();
    }

    @Test
    void whatARestartFindsIsNeverRunAgain() {
        assertThat(Memory.found(mark(Mark.State.SUCCEEDED, 100), 0)).isEqualTo(Memory.Found.REPLAY);
        assertThat(Memory.found(mark(Mark.State.LOST, 100), 0)).isEqualTo(Memory.Found.ERROR);
        assertThat(Memory.found(mark(Mark.State.MARKED, 100), 99)).isEqualTo(Memory.Found.WAIT);
        assertThat(Memory.found(mark(Mark.State.MARKED, 100), 100)).isEqualTo(Memory.Found.WAIT);
        assertThat(Memory.found(mark(Mark.State.MARKED, 100), 101)).isEqualTo(Memory.Found.ERROR);
    }

    @Test
    void marksAreReadAsTheyWereWritten() {
        SplittableRandom chance = new SplittableRandom(5);
        for (Mark.State state : Mark.State.values()) {
            byte[] body = new byte[32];
            chance.nextBytes(body);
            Mark mark =
                    new Mark(
                            state,
                            "tok\u00e9n",
                            "place order",
                            "9b1f03aa5c7e2d41",
                            body,
                            -5,
                            Long.MAX_VALUE);
            Mark read = Mark.of(mark.key(), mark.meta());
            assertThat(read).usingRecursiveComparison().isEqualTo(mark);
            assertThat(read.sameBody(body)).isTrue();
            assertThat(read.sameBody(new byte[32])).isFalse();
        }
    }

    @Test
    void bytesOfNoMarkAreNone() {
        SplittableRandom chance = new SplittableRandom(6);
        byte[] good = mark(Mark.State.MARKED, 1).meta();
        for (int length = 0; length < good.length; length++) {
            assertThat(Mark.of(new byte[4], java.util.Arrays.copyOf(good, length)))
                    .as("length " + length)
                    .isNull();
        }
        for (int i = 0; i < 10_000; i++) {
            byte[] noise = new byte[chance.nextInt(256)];
            chance.nextBytes(noise);
            Mark.of(new byte[4], noise); // does not throw
        }
    }

    @Test
    void longestNamesStillFit() {
        assertThat(Mark.fits("o".repeat(100), "r".repeat(50))).isTrue();
        assertThat(Mark.fits("o".repeat(101), "r")).isFalse();
        assertThat(Mark.fits("o", "r".repeat(51))).isFalse();
        Mark longest =
                new Mark(
                        Mark.State.MARKED,
                        "t",
                        "o".repeat(100),
                        "r".repeat(50),
                        new byte[32],
                        0,
                        0);
        assertThat(longest.meta().length).isLessThanOrEqualTo(255);
    }
}
