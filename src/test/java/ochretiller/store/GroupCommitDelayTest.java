package ochretiller.store;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class GroupCommitDelayTest {
    private final GroupCommitDelay gathering = new GroupCommitDelay();

    @Test
    void firstGroupAndLoneOnesDoNotWait() {
        assertThat(gathering.expectedAppends()).isEqualTo(1);
        gathering.forceCompleted(1, 0, 1_000_000);
        assertThat(gathering.expectedAppends()).isEqualTo(1);
    }

    @Test
    void waitsForThoseThatWereAnsweredAndThoseThatWait() {
        gathering.forceCompleted(20, 12, 400_000);
        assertThat(gathering.expectedAppends()).isEqualTo(32);
        assertThat(gathering.maxWaitNanos()).isEqualTo(100_000);
    }

    @Test
    void waitsInVainAreFollowedByMoreAndMoreGroupsThatDoNot() {
        int waits = 0;
        for (int group = 0; group < 1_000; group++) {
            gathering.forceCompleted(4, 4, 400_000);
            if (gathering.expectedAppends() > 1) {
                waits++;
            }
            gathering.waitEnded(4);
        }
        assertThat(waits).isBetween(7, 30);
        gathering.forceCompleted(4, 4, 400_000);
        while (gathering.expectedAppends() == 1) {
            gathering.waitEnded(1);
        }
        gathering.waitEnded(8); // they come again
        gathering.forceCompleted(4, 4, 400_000);
        assertThat(gathering.expectedAppends()).isEqualTo(8);
    }

    @Test
    void slowDiskMakesItNoDelayOfItsOwn() {
        gathering.forceCompleted(4, 4, 1_000_000_000L);
        assertThat(gathering.maxWaitNanos()).isEqualTo(500_000);
    }
}
