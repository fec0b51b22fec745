package ochretiller.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import ochretiller.admission.AdmissionController;
import ochretiller.model.CapacityAdvertisement;
import ochretiller.model.Operation;
import ochretiller.model.SideEffect;
import org.junit.jupiter.api.Test;

class WarmUpTest {
    private static final Duration SECOND = Duration.ofSeconds(1);

    @Test
    void madeUpInvocationsRunCallAndEnd() {
        AdmissionController choice =
                new AdmissionController(
                        new AdmissionController.IdempotencyTable(1, 10_000),
                        new AdmissionController.ConcurrencyLimiter(2, 5, 1, Duration.ZERO, true),
                        new AdmissionController.AdmissionQueue(List.of(), 1, 1, false),
                        new AdmissionController.DownstreamCallLimiter(5, 2, SECOND, SECOND),
                        new AdmissionController.MemoryBudget(10_000, 10),
                        new AdmissionController.DrainState(SECOND),
                        new AdmissionController.BackpressureAdvertiser(
                                CapacityAdvertisement.NONE,
                                1,
                                2,
                                SECOND,
                                SECOND,
                                new SplittableRandom(1)));
        WarmUp warmUp = new WarmUp(choice);
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
        assertThat(warmUp.finishedRuns())
                .isGreaterThan(150); // most are worked off, so that the way of each is well trodden
    }
}
