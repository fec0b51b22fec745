package ochretiller.store;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class GroupCommitDelayTest {
    private final GroupCommitDelay delay = new GroupCommitDelay();

    @Test
    void firstGroupAndSingleAppendsDoNotWait() {
        assertThat(delay.expectedAppends()).isEqualTo(1);
        delay.forceCompleted(1, 0, 1_000_000);
        assertThat(delay.expectedAppends()).isEqualTo(1);
    }

    @Test
    void waitsForAcknowledgedAndQueuedAppends() {
        delay.forceCompleted(20, 12, 400_000);
        assertThat(delay.expectedAppends()).isEqualTo(32);
        assertThat(delay.maxWaitNanos()).isEqualTo(100_000);
    }

    @Test
    void timedOutWaitsAreFollowedByMoreAndMoreGroupsThatSkipTheWait() {
        int waits = 0;
        for (int group = 0; group < 1_000; group++) {
            delay.forceCompleted(4, 4, 400_000);
            if (delay.expectedAppends() > 1) {
                waits++;
            }
            delay.waitEnded(4);
        }
        assertThat(waits).isBetween(7, 30);
        delay.forceCompleted(4, 4, 400_000);
        while (delay.expectedAppends() == 1) {
            delay.waitEnded(1);
        }
        delay.waitEnded(8); // all expected appends arrive again
        delay.forceCompleted(4, 4, 400_000);
        assertThat(delay.expectedAppends()).isEqualTo(8);
    }

    @Test
    void slowDiskDoesNotProlongTheWait() {
        delay.forceCompleted(4, 4, 1_000_000_000L);
        assertThat(delay.maxWaitNanos()).isEqualTo(500_000);
    }
}
