package ochretiller.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import ochretiller.model.Advert;
import ochretiller.model.CallerId;
import ochretiller.model.InvId;
import ochretiller.model.Invocation;
import ochretiller.model.RunEnd;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What a cold server takes of all senders together: it is its own limit that holds, whatever each
 * of them believes.
 */
class ColdTest {
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
        Fixture server = new Fixture();
        server.memoryKb = 10_000_000;
        Choice choice =
                new Choice(
                        new Choice.TokenTable(1, server.memoryKb),
                        new Choice.RunLimit(CORES, FALLS, COLD, WARM, true),
                        new Choice.Hold(List.of(), 1, 1, false),
                        new Choice.Calls(100, CORES, Duration.ZERO, Fixture.SECOND),
                        new Choice.Memory(server.memoryKb, 10),
                        new Choice.Drain(Fixture.SECOND),
                        new Choice.Signals(
                                Advert.NONE,
                                senders,
                                CORES,
                                Fixture.SECOND,
                                Fixture.SECOND,
                                new SplittableRandom(1)));
        choice.started().act(server);
        long id = 0;
        for (int second = 0; second < 20; second++) {
            server.beat(Duration.ofSeconds(second));
            for (int i = 0; i < senders * EACH; i++) {
                choice.arrived(
                                new Invocation(
                                        new InvId(++id),
                                        null,
                                        Fixture.READ,
                                        1,
                                        server.now,
                                        server.now.plusSeconds(4),
                                        null,
                                        new CallerId(i % senders),
                                        null,
                                        false))
                        .act(server);
                double speed = COLD + (1 - COLD) * Math.min(1, second / (double) WARM.toSeconds());
                assertThat(server.runs.size())
                        .isLessThan((int) (CORES * (1 + (FALLS - 1) * speed)));
            }
            for (InvId run : List.copyOf(server.runs.keySet())) {
                server.runs
                        .remove(run)
                        .apply(new RunEnd(RunEnd.Result.SUCCEEDED, Duration.ofMillis(100)))
                        .act(server);
            }
        }
    }
}
