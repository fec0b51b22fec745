package ochretiller.node;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import ochretiller.frontend.RequestAttempt;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests at which time attempts are looked at, and that removed ones are forgotten. */
class AttemptTimersTest {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final List<RequestAttempt> due = new ArrayList<>();
    private AttemptFixture fixture;
    private AttemptTimers timers;
    private RequestAttempt failing;

    @BeforeEach
    void open() throws Exception {
        fixture = new AttemptFixture(new ArrayList<>());
        timers = new AttemptTimers(fixture.loop, this::onDue);
    }

    @AfterEach
    void close() throws Exception {
        fixture.close();
    }

    private void onDue(RequestAttempt attempt) {
        due.add(attempt);
        if (attempt == failing) {
            throw new IllegalStateException("this attempt fails");
        }
    }

    private RequestAttempt add(Duration delay) {
        RequestAttempt attempt = fixture.receive(AttemptFixture.ORDER, "body");
        timers.add(attempt, delay);
        return attempt;
    }

    // Guards against an attempt that is looked at when another one's time has come.
    @Test
    void eachAttemptIsDueAtItsOwnTime() {
        RequestAttempt last = add(SECOND.multipliedBy(3));
        RequestAttempt first = add(SECOND);
        RequestAttempt second = add(SECOND.multipliedBy(2));
        fixture.loop.advanceTimers(SECOND);
        assertThat(due).containsExactly(first);
        fixture.loop.advanceTimers(SECOND);
        assertThat(due).containsExactly(first, second);
        fixture.loop.advanceTimers(SECOND);
        assertThat(due).containsExactly(first, second, last);
    }

    // Guards against memory that grows with attempts whose clients have left.
    @Test
    void nothingIsHeldOfARemovedAttempt() {
        RequestAttempt removed = add(SECOND);
        RequestAttempt next = add(SECOND);
        assertThat(timers.remove(removed)).isTrue();
        assertThat(timers.remove(removed)).isFalse();
        assertThat(timers.size()).isOne();
        fixture.loop.advanceTimers(SECOND);
        assertThat(due).containsExactly(next);
        assertThat(timers.size()).isZero();
    }

    // Guards against attempts that are never looked at since the handling of another one failed.
    @Test
    void timersGoOnAfterAnAttemptThatFails() {
        failing = add(SECOND);
        RequestAttempt next = add(SECOND);
        assertThatThrownBy(() -> fixture.loop.advanceTimers(SECOND))
                .isInstanceOf(IllegalStateException.class);
        fixture.loop.advanceTimers(SECOND);
        assertThat(due).containsExactly(failing, next);
    }
}
