package ochretiller.admission;

import static ochretiller.admission.AdmissionFixture.SECOND;
import static ochretiller.admission.InvocationBuilder.invocation;
import static ochretiller.admission.SampleOperations.READ;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import ochretiller.model.InvocationId;
import ochretiller.model.RunOutcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a cold server limits its concurrency, however many clients it has. */
class SlowStartTest {
    private static final int CORES = 6;
    private static final double SURVIVABLE_MULTIPLE = 8;
    private static final double COLD_SPEED = 0.3;
    private static final Duration WARM_UP = Duration.ofSeconds(16);

    /** Arrivals per client and second: too many for a limit that counts each client alone. */
    private static final int ARRIVALS_PER_CLIENT = 12;

    private final AdmissionFixture server = new AdmissionFixture();

    @Test
    void speedRisesLinearlyToFullSpeed() {
        SlowStart slowStart = new SlowStart(0.5, SECOND.multipliedBy(10));
        assertThat(slowStart.speedAfter(Duration.ZERO)).isEqualTo(0.5);
        assertThat(slowStart.speedAfter(SECOND.multipliedBy(5))).isEqualTo(0.75);
        assertThat(slowStart.speedAfter(SECOND.multipliedBy(20))).isEqualTo(1);
        assertThat(SlowStart.NONE.speedAfter(Duration.ZERO)).isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 30, 100})
    void concurrencyStaysBelowWhatAColdServerSurvivesForAnyNumberOfClients(int clients) {
        server.settings
                .cores(CORES)
                .survivableConcurrencyMultiple(SURVIVABLE_MULTIPLE)
                .slowStart(new SlowStart(COLD_SPEED, WARM_UP))
                .memoryKb(10_000_000)
                .idempotencyEntryKb(1)
                .downstreamCallShare(100)
                .serviceTimeAfterTimeout(Duration.ZERO)
                .clients(clients);
        long id = 0;
        for (int second = 0; second < 20; second++) {
            server.advanceTo(Duration.ofSeconds(second));
            for (int i = 0; i < clients * ARRIVALS_PER_CLIENT; i++) {
                receiveFrom(i % clients, ++id);
                assertThat(server.runs.size()).isLessThan(survivableConcurrency(second));
            }
            endAllRuns();
        }
    }

    private void receiveFrom(int client, long id) {
        server.controller()
                .onInvocationReceived(
                        invocation(id, READ)
                                .memoryKb(1)
                                .arrivedAt(server.now)
                                .client(client)
                                .build())
                .execute(server);
    }

    private static int survivableConcurrency(int second) {
        double warmUp = Math.min(1, second / (double) WARM_UP.toSeconds());
        double speed = COLD_SPEED + (1 - COLD_SPEED) * warmUp;
        return (int) (CORES * (1 + (SURVIVABLE_MULTIPLE - 1) * speed));
    }

    private void endAllRuns() {
        for (InvocationId run : List.copyOf(server.runs.keySet())) {
            server.endRun(run.value(), RunOutcome.Status.SUCCEEDED, Duration.ofMillis(100));
        }
    }
}
