package ochretiller.admission;

import static ochretiller.admission.AdmissionFixture.SECOND;
import static ochretiller.admission.SampleOperations.READ;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import ochretiller.model.CapacityAdvertisement;
import org.junit.jupiter.api.Test;

class BackpressureAdvertiserTest {
    private static final int CORES = 2;

    private final AdmissionFixture server = new AdmissionFixture();

    @Test
    void idleTimeoutShrinksWhileManyConnectionsAreOpen() {
        BackpressureAdvertiser advertiser =
                new BackpressureAdvertiser(
                        new AdvertisedCapacity(CapacityAdvertisement.NONE, 1, CORES),
                        new IdleTimeoutPolicy(CORES, SECOND),
                        new OverloadDetector());
        advertiser.adaptIdleTimeout(server, 99);
        server.now = SECOND;
        advertiser.adaptIdleTimeout(server, 1);
        assertThat(server.actions).containsExactly("idleTimeout PT0.5S", "idleTimeout PT1S");
    }

    @Test
    void advertisedWindowShrinksWhileTheQueueIsLong() {
        server.settings.advertisement(CapacityAdvertisement.CLIENT_WINDOW);
        server.occupyBothCores();
        for (long id = 1; id < 5; id++) {
            server.receive(id, READ);
        }
        assertThat(server.advanceTo(Duration.ofMillis(100))).contains("advertise " + 12 * 0.9);
    }
}
