package ochretiller.admission;

import static ochretiller.admission.InvocationBuilder.invocation;
import static ochretiller.admission.SampleOperations.READ;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import ochretiller.model.InvocationId;
import org.junit.jupiter.api.Test;

class EvictionPolicyTest {
    @Test
    void senderWithMostQueuedLosesTheOneThatWouldStartLast() {
        QueueOrder order = new QueueOrder(new CostEstimator(), BillingBasis.PER_REQUEST);
        EvictionPolicy eviction = new EvictionPolicy(List.of());
        List<TrackedInvocation> queued = new ArrayList<>();
        for (long id : new long[] {1, 3, 5, 2}) {
            queued.add(invocation(id, READ).buildTracked());
        }
        List<TrackedInvocation> ordered = order.sort(queued, Duration.ZERO);
        assertThat(eviction.chooseVictim(ordered, queued).id()).isEqualTo(new InvocationId(5));
    }
}
