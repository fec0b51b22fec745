package ochretiller.node;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import ochretiller.model.Advert;
import ochretiller.model.Effect;
import ochretiller.model.Operation;
import ochretiller.policy.Choice;
import org.junit.jupiter.api.Test;

class WarmUpTest {
    private static final Duration SECOND = Duration.ofSeconds(1);

    @Test
    void madeUpInvocationsRunCallAndEnd() {
        Choice choice =
                new Choice(
                        new Choice.TokenTable(1, 10_000),
                        new Choice.RunLimit(2, 5, 1, Duration.ZERO, true),
                        new Choice.Hold(List.of(), 1, 1, false),
                        new Choice.Calls(5, 2, SECOND, SECOND),
                        new Choice.Memory(10_000, 10),
                        new Choice.Drain(SECOND),
                        new Choice.Signals(
                                Advert.NONE, 1, 2, SECOND, SECOND, new SplittableRandom(1)));
        WarmUp warmUp = new WarmUp(choice);
        warmUp.work(
                List.of(
                        new Operation(
                                "read",
                                Effect.IDEMPOTENT,
                                SECOND,
                                SECOND,
                                1,
                                0,
                                Duration.ZERO,
                                false,
                                0),
                        new Operation(
                                "order", Effect.TOKENED, SECOND, SECOND, 3, 0, SECOND, true, 0)),
                100);
        assertThat(warmUp.ended)
                .isGreaterThan(150); // most are worked off, so that the way of each is well trodden
    }
}
