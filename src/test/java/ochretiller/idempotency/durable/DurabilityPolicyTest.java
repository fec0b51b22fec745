package ochretiller.idempotency.durable;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DurabilityPolicyTest {
    private static final DurabilityTimeouts TIMEOUTS =
            new DurabilityTimeouts(ms(400), ms(500), ms(100), ms(200), ms(1_000));

    private final DurabilityPolicy policy = new DurabilityPolicy(TIMEOUTS, new SplittableRandom(1));

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    @Test
    void diskIsStalledUntilAnOldAppendEnds() {
        policy.appendStarted(1, ms(0));
        policy.appendStarted(2, ms(90));
        assertThat(policy.acceptsNewKeys(ms(100))).isTrue();
        assertThat(policy.diskHealth(ms(101))).isEqualTo(DiskHealth.STALLED);
        assertThat(policy.acceptsNewKeys(ms(101))).isFalse();
        policy.appendCompleted(1);
        assertThat(policy.diskHealth(ms(101))).isEqualTo(DiskHealth.HEALTHY);
        assertThat(policy.oldestAppendAge(ms(101))).isEqualTo(ms(11));
        policy.appendCompleted(2);
        assertThat(policy.acceptsNewKeys(ms(10_000))).isTrue();
    }

    @Test
    void newKeysAreNotAcceptedWithoutCapacity() {
        policy.storeStatusChanged(true, false, ms(0));
        assertThat(policy.acceptsNewKeys(ms(1))).isFalse();
        assertThat(policy.diskHealth(ms(1))).isEqualTo(DiskHealth.HEALTHY);
        policy.storeStatusChanged(true, true, ms(2));
        assertThat(policy.acceptsNewKeys(ms(3))).isTrue();
    }

    @Test
    void failedDiskIsProbedWithBackoffAndUsedAgainAfterItRecovers() {
        policy.storeStatusChanged(false, true, ms(0));
        assertThat(policy.diskHealth(ms(0))).isEqualTo(DiskHealth.UNAVAILABLE);
        assertThat(policy.startProbeIfDue(ms(149)))
                .as("jitter shortens the first pause by a quarter at most")
                .isFalse();
        Duration time = ms(251);
        long lastDelay = 0;
        for (int i = 0; i < 6; i++) {
            assertThat(policy.startProbeIfDue(time)).isTrue();
            assertThat(policy.startProbeIfDue(time)).as("one at a time").isFalse();
            policy.probeFailed(time);
            long delay = 1;
            while (!policy.startProbeIfDue(time.plus(ms(delay)))) {
                delay++;
            }
            assertThat(delay).isBetween(150L, 1_250L);
            if (i < 2) {
                assertThat(delay).isGreaterThan(lastDelay);
            }
            lastDelay = delay;
            policy.probeFailed(time.plus(ms(delay)));
            time = time.plus(ms(delay + 1_251));
        }
        policy.storeStatusChanged(true, true, time);
        assertThat(policy.acceptsNewKeys(time)).isTrue();
        assertThat(policy.startProbeIfDue(time.plus(ms(5_000)))).isFalse();
    }

    @Test
    void newKeysAreNotAcceptedWhileDamageMayHideAMarker() {
        policy.suspendNewKeysUntil(ms(17_364));
        assertThat(policy.acceptsNewKeys(ms(17_363))).isFalse();
        assertThat(policy.acceptsNewKeys(ms(17_364))).isTrue();
    }

    @ParameterizedTest
    @CsvSource({
        "10000,0,400,500",
        "600,300,180,180",
        "500,300,80,80",
        "500,380,0,0",
        "500,900,0,0"
    })
    void waitsEndBeforeTheDeadline(long deadline, long now, long marker, long answer) {
        assertThat(policy.markerTimeout(ms(deadline), ms(now))).isEqualTo(ms(marker));
        assertThat(policy.answerTimeout(ms(deadline), ms(now))).isEqualTo(ms(answer));
    }

    @Test
    void answersDoNotWaitForAFailedDisk() {
        policy.storeStatusChanged(false, true, ms(0));
        assertThat(policy.answerTimeout(ms(10_000), ms(0))).isZero();
    }
}
