package ochretiller.admission;

import static ochretiller.admission.AdmissionFixture.SECOND;
import static ochretiller.admission.SampleOperations.ORDER;
import static ochretiller.admission.SampleOperations.READ;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import ochretiller.model.CapacityAdvertisement;
import org.junit.jupiter.api.Test;

/** Tests the behavior after a shutdown notice. */
class DrainStateTest {
    private final AdmissionFixture server = new AdmissionFixture();

    @Test
    void drainingServerRunsNothingThatArrivedAfterTheGracePeriod() {
        assertThat(server.announceShutdown(SECOND.multipliedBy(5))).contains("unhealthy");
        server.now = Duration.ofMillis(900);
        assertThat(server.receive(1, READ)).contains("startRun 1");
        server.now = Duration.ofMillis(1_001);
        assertThat(server.receive(2, READ)).containsExactly("throttle 2");
    }

    @Test
    void drainingServerAnswersAllBeforeItIsKilled() {
        server.occupyBothCores();
        server.receive(1, ORDER);
        server.announceShutdown(SECOND);
        assertThat(server.advanceTo(Duration.ofMillis(930)))
                .contains("fail 101", "fail 102", "throttle 1", "removeEntry 1");
    }

    @Test
    void drainingServerAdvertisesCapacityUntilTheGracePeriodIsOver() {
        server.settings.advertisement(CapacityAdvertisement.ROUTING_PROBABILITY);
        assertThat(server.announceShutdown(SECOND.multipliedBy(3))).containsExactly("unhealthy");
        assertThat(server.advanceTo(Duration.ofMillis(800)))
                .noneMatch(action -> action.startsWith("advertise"));
        assertThat(server.advanceTo(SECOND)).contains("advertise 0.0");
    }

    @Test
    void drainingServerSendsTheLongestRetryAfter() {
        server.announceShutdown(SECOND.multipliedBy(3));
        server.now = SECOND.multipliedBy(2);
        assertThat(server.receive(1, READ)).containsExactly("throttle 1");
        assertThat(server.lastRetryAfter).isEqualTo(SECOND);
    }
}
