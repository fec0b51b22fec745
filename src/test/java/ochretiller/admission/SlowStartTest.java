package ochretiller.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import ochretiller.model.CapacityAdvertisement;
import ochretiller.model.ClientId;
import ochretiller.model.Invocation;
import ochretiller.model.InvocationId;
import ochretiller.model.RunOutcome;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What a cold server takes of all senders together: it is its own limit that holds, whatever each
 * of them believes.
 */
class SlowStartTest {
    private static final int CORES = 6;
    private static final double FALLS = 8;
    private static final double COLD = 0.3;
    private static final Duration WARM = Duration.ofSeconds(16);

    /**
     * Long over any queue: what is throttled would have been run by a server that only counts a
     * sender's own.
     */
    private static final int EACH = 12;

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 30, 100})
    void crowdOnTheCoresStaysUnderWhatAColdServerSurvivesForAnyNumberOfSenders(int senders) {
        AdmissionFixture server = new AdmissionFixture();
        server.memoryKb = 10_000_000;
        AdmissionController choice =
                new AdmissionController(
                        new AdmissionController.IdempotencyTable(1, server.memoryKb),
                        new AdmissionController.ConcurrencyLimiter(CORES, FALLS, COLD, WARM, true),
                        new AdmissionController.AdmissionQueue(List.of(), 1, 1, false),
                        new AdmissionController.DownstreamCallLimiter(
                                100, CORES, Duration.ZERO, AdmissionFixture.SECOND),
                        new AdmissionController.MemoryBudget(server.memoryKb, 10),
                        new AdmissionController.DrainState(AdmissionFixture.SECOND),
                        new AdmissionController.BackpressureAdvertiser(
                                CapacityAdvertisement.NONE,
                                senders,
                                CORES,
                                AdmissionFixture.SECOND,
                                AdmissionFixture.SECOND,
                                new SplittableRandom(1)));
        choice.onStarted().execute(server);
        long id = 0;
        for (int second = 0; second < 20; second++) {
            server.beat(Duration.ofSeconds(second));
            for (int i = 0; i < senders * EACH; i++) {
                choice.onInvocationReceived(
                                new Invocation(
                                        new InvocationId(++id),
                                        null,
                                        AdmissionFixture.READ,
                                        1,
                                        server.now,
                                        server.now.plusSeconds(4),
                                        null,
                                        new ClientId(i % senders),
                                        null,
                                        false))
                        .execute(server);
                double speed = COLD + (1 - COLD) * Math.min(1, second / (double) WARM.toSeconds());
                assertThat(server.runs.size())
                        .isLessThan((int) (CORES * (1 + (FALLS - 1) * speed)));
            }
            for (InvocationId run : List.copyOf(server.runs.keySet())) {
                server.runs
                        .remove(run)
                        .apply(new RunOutcome(RunOutcome.Status.SUCCEEDED, Duration.ofMillis(100)))
                        .execute(server);
            }
        }
    }
}
