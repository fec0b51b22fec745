package ochretiller.admission;

import static ochretiller.admission.InvocationBuilder.invocation;
import static ochretiller.admission.SampleOperations.ORDER;
import static ochretiller.admission.SampleOperations.READ;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import ochretiller.model.RunOutcome.Status;
import org.junit.jupiter.api.Test;

class QueueOrderTest {
    @Test
    void invocationsStartByBilledValueOverExpectedCost() {
        AdmissionFixture server = new AdmissionFixture();
        server.occupyBothCores();
        server.receive(1, READ);
        server.receive(2, ORDER);
        assertThat(server.endRun(101, Status.SUCCEEDED)).containsExactly("startRun 2");
    }

    @Test
    void invocationsOfEqualValueDensityAreOrderedRoundRobinByClient() {
        QueueOrder order = new QueueOrder(new CostEstimator(), BillingBasis.PER_REQUEST);
        List<TrackedInvocation> queued = new ArrayList<>();
        for (long id : new long[] {2, 4, 6, 1, 8, 3}) {
            queued.add(invocation(id, READ).buildTracked()); // even and odd ids: two clients
        }
        assertThat(ids(order.sort(queued, Duration.ZERO))).containsExactly(1L, 2L, 3L, 4L, 6L, 8L);
        queued.add(invocation(10, ORDER).buildTracked());
        assertThat(ids(order.sort(queued, Duration.ZERO)).get(0))
                .as("a higher value density goes first whichever client sent it")
                .isEqualTo(10);
    }

    private static List<Long> ids(List<TrackedInvocation> tracked) {
        return tracked.stream().map(each -> each.id().value()).toList();
    }
}
