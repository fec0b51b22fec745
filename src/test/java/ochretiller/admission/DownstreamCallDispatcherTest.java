package ochretiller.admission;

import static ochretiller.admission.SampleOperations.ORDER;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import ochretiller.model.CallOutcome;
import org.junit.jupiter.api.Test;

class DownstreamCallDispatcherTest {
    private final AdmissionFixture server = new AdmissionFixture();

    @Test
    void callThatMayHaveExecutedIsNotMadeAgain() {
        server.receive(1, ORDER);
        server.requestCall(1);
        assertThat(server.endCall(1, CallOutcome.Status.TIMED_OUT)).containsExactly("fail 1");
    }

    @Test
    void callThatWasNotExecutedIsMadeAgainOnATick() {
        server.receive(1, ORDER);
        server.requestCall(1);
        assertThat(server.endCall(1, CallOutcome.Status.REJECTED)).isEmpty();
        assertThat(server.advanceTo(Duration.ofMillis(150))).containsExactly("startCall 1");
    }
}
