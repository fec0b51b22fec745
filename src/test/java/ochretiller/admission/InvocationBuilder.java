package ochretiller.admission;

import java.time.Duration;
import ochretiller.model.ClientId;
import ochretiller.model.Invocation;
import ochretiller.model.InvocationId;
import ochretiller.model.Operation;
import ochretiller.model.TenantId;

/** Builds invocations for tests: first attempts of ten kilobytes, arrived at time zero. */
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

    /** One of two clients sends it, by whether its number is even. */
    static InvocationBuilder invocation(long id, Operation operation) {
        return new InvocationBuilder(id, operation);
    }

    InvocationBuilder repeating(long originalId) {
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

    /** Its deadline is the client's timeout after it arrived. */
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

    /** Builds it as one that the controller has registered, to run on the cores. */
    TrackedInvocation track() {
        return new TrackedInvocation(build(), ExecutionSite.LOCAL_CORES, 1);
    }
}
