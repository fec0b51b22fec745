package ochretiller.admission;

import static ochretiller.admission.SampleOperations.ORDER;
import static ochretiller.admission.SampleOperations.READ;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import ochretiller.model.CallOutcome;
import org.junit.jupiter.api.Test;

class DownstreamCallLimiterTest {
    private final AdmissionFixture server = new AdmissionFixture();

    @Test
    void callsWaitWhileTheShareIsUsedUp() {
        server.settings.downstreamCallShare(0.5); // 225 ms of calls per second
        server.receive(1, ORDER);
        server.receive(2, ORDER);
        assertThat(server.requestCall(1)).containsExactly("startCall 1");
        server.now = Duration.ofMillis(250);
        assertThat(server.requestCall(2)).isEmpty();
        assertThat(server.endCall(1, CallOutcome.Status.SUCCEEDED)).isEmpty();
        assertThat(server.advanceTo(Duration.ofMillis(1_200))).contains("startCall 2");
    }

    @Test
    void callsStartAtOnceWhileTheShareLasts() {
        server.settings.downstreamCallShare(5);
        for (long id = 1; id <= 9; id++) {
            server.receive(id, ORDER);
        }
        assertThat(server.requestCall(1)).contains("startCall 1");
        assertThat(server.requestCall(2)).contains("startCall 2");
    }

    @Test
    void runThatWaitsForItsCallFreesItsSlot() {
        server.occupyBothCores();
        server.receive(1, READ);
        assertThat(server.requestCall(101)).containsExactly("startCall 101", "startRun 1");
    }
}
