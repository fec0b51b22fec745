package ochretiller.audit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class VersionUsageTest {
    @Test
    void periodEndsWithItsVersionAndContainsItsCounts() {
        VersionUsage usage = new VersionUsage(Duration.ofSeconds(60));
        usage.startPeriod(1_000, Duration.ZERO);
        usage.switchVersion(1, "", 1_000, Duration.ZERO);
        usage.count("order", InvocationOutcome.RECEIVED);
        usage.count("order", InvocationOutcome.EXECUTED);
        assertThat(usage.closeIfDue(50_000, Duration.ofSeconds(49))).isEmpty();
        VersionPeriod first =
                usage.switchVersion(2, "", 51_000, Duration.ofSeconds(50)).orElseThrow();
        assertThat(first.version()).isEqualTo(1);
        assertThat(first.operations().get("order")).isEqualTo(new InvocationCounts(1, 1, 0, 0, 0));
        assertThat(first.clockStepMillis()).isZero();
        VersionPeriod stepped = usage.closeIfDue(3_711_000, Duration.ofSeconds(110)).orElseThrow();
        assertThat(stepped.clockStepMillis())
                .as("the Unix clock was set forward by an hour")
                .isEqualTo(3_600_000);
        assertThat(stepped.totals()).isEqualTo(InvocationCounts.NONE);
        for (int i = 0; i < 1_000; i++) {
            usage.count("o" + i, InvocationOutcome.RECEIVED);
        }
        assertThat(usage.closePeriod(3_712_000, Duration.ofSeconds(111)).operations())
                .hasSize(65)
                .containsKey(VersionUsage.OTHER_OPERATIONS);
    }
}
