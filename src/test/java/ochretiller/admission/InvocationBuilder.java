package ochretiller.admission;

import java.time.Duration;
import ochretiller.model.ClientId;
import ochretiller.model.Invocation;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;
import ochretiller.model.TenantId;

/** Builds invocations for tests; by default, first attempts of 10 KB that arrive at time zero. */
final class InvocationBuilder {
    private final long id;
    private final Operation operation;
    private InvocationId originalAttempt;
    private double memoryKb = 10;
    private Duration arrivedAt = Duration.ZERO;
    private ClientId client;
    private TenantId tenant;
    private boolean isRetry;

    private InvocationBuilder(long id, Operation operation) {
        this.id = id;
        this.operation = operation;
        this.client = new ClientId(id % 2);
    }

    /** Returns a builder; even and odd ids belong to two different clients. */
    static InvocationBuilder invocation(long id, Operation operation) {
        return new InvocationBuilder(id, operation);
    }

    InvocationBuilder retryOf(long originalId) {
        this.originalAttempt = new InvocationId(originalId);
        return this;
    }

    InvocationBuilder memoryKb(double kb) {
        this.memoryKb = kb;
        return this;
    }

    InvocationBuilder arrivedAt(Duration time) {
        this.arrivedAt = time;
        return this;
    }

    InvocationBuilder client(long number) {
        this.client = new ClientId(number);
        return this;
    }

    InvocationBuilder tenant(TenantId id) {
        this.tenant = id;
        return this;
    }

    InvocationBuilder markedAsRetry() {
        this.isRetry = true;
        return this;
    }

    /** Builds the invocation, whose deadline is one client timeout after its arrival. */
    Invocation build() {
        return new Invocation(
                new InvocationId(id),
                originalAttempt,
                operation,
                memoryKb,
                arrivedAt,
                arrivedAt.plus(operation.clientTimeout()),
                null,
                client,
                tenant,
                isRetry);
    }

    /** Builds the invocation and tracks it, to run on the local cores. */
    TrackedInvocation buildTracked() {
        return new TrackedInvocation(build(), ExecutionSite.LOCAL_CORES, 1);
    }
}
