package ochretiller.store;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class GatheringTest {
    private final Gathering gathering = new Gathering();

    @Test
    void firstGroupAndLoneOnesDoNotWait() {
        assertThat(gathering.expected()).isEqualTo(1);
        gathering.forced(1, 0, 1_000_000);
        assertThat(gathering.expected()).isEqualTo(1);
    }

    @Test
    void waitsForThoseThatWereAnsweredAndThoseThatWait() {
        gathering.forced(20, 12, 400_000);
        assertThat(gathering.expected()).isEqualTo(32);
        assertThat(gathering.patience()).isEqualTo(100_000);
    }

    @Test
    void waitsInVainAreFollowedByMoreAndMoreGroupsThatDoNot() {
        int waits = 0;
        for (int group = 0; group < 1_000; group++) {
            gathering.forced(4, 4, 400_000);
            if (gathering.expected() > 1) {
                waits++;
            }
            gathering.came(4);
        }
        assertThat(waits).isBetween(7, 30);
        gathering.forced(4, 4, 400_000);
        while (gathering.expected() == 1) {
            gathering.came(1);
        }
        gathering.came(8); // they come again
        gathering.forced(4, 4, 400_000);
        assertThat(gathering.expected()).isEqualTo(8);
    }

    @Test
    void slowDiskMakesItNoDelayOfItsOwn() {
        gathering.forced(4, 4, 1_000_000_000L);
        assertThat(gathering.patience()).isEqualTo(500_000);
    }
}
