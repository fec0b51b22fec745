package ochretiller.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import ochretiller.admission.AdmissionController;
import ochretiller.model.Operation;
import ochretiller.model.SideEffect;
import org.junit.jupiter.api.Test;

class WarmUpTest {
    private static final Duration SECOND = Duration.ofSeconds(1);

    @Test
    void simulatedInvocationsRunAndFinish() {
        AdmissionController admission =
                AdmissionController.builder()
                        .cores(2)
                        .survivableConcurrencyMultiple(5)
                        .canCancelRuns(true)
                        .memoryKb(10_000)
                        .runMemoryFactor(10)
                        .idempotencyEntryKb(1)
                        .downstreamCallShare(5)
                        .serviceTimeAfterTimeout(SECOND)
                        .callAveragingPeriod(SECOND)
                        .gracePeriod(SECOND)
                        .longestRetryAfter(SECOND)
                        .longestIdleTimeout(SECOND)
                        .build(new SplittableRandom(1));
        WarmUp warmUp = new WarmUp(admission);
        warmUp.simulate(
                List.of(
                        new Operation(
                                "read",
                                SideEffect.IDEMPOTENT,
                                SECOND,
                                SECOND,
                                1,
                                0,
                                Duration.ZERO,
                                false,
                                0),
                        new Operation(
                                "order", SideEffect.KEYED, SECOND, SECOND, 3, 0, SECOND, true, 0)),
                100);
        // Most of the 200 invocations must run, so that the code of each step is compiled.
        assertThat(warmUp.finishedRuns()).isGreaterThan(150);
    }
}
