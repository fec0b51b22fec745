package ochretiller.jsonrpc;

import java.util.OptionalDouble;
import java.util.function.Consumer;

/**
 * Answers health checks and holds the advertised capacity, which every response includes. Confined
 * to the event loop.
 */
public final class HealthChecks {
    private final Consumer<Consumer<Boolean>> deepCheck;
    private boolean healthy;
    private boolean answersFullChecks = true;
    private OptionalDouble advertisedCapacity = OptionalDouble.empty();

    /**
     * Creates an instance whose checks fail until {@link #setStatus} is called.
     *
     * @param deepCheck starts a deep check and passes its result to the callback
     */
    public HealthChecks(Consumer<Consumer<Boolean>> deepCheck) {
        this.deepCheck = deepCheck;
    }

    /**
     * Sets the result of the following checks.
     *
     * @param nowHealthy whether the server is healthy
     * @param nowAnswersFullChecks whether a full check is also answered with {@code nowHealthy};
     *     otherwise a full check of a healthy server starts a deep check
     */
    public void setStatus(boolean nowHealthy, boolean nowAnswersFullChecks) {
        healthy = nowHealthy;
        answersFullChecks = nowAnswersFullChecks;
    }

    /** Sets the capacity that is advertised to gateways. */
    public void advertise(double capacity) {
        advertisedCapacity = OptionalDouble.of(capacity);
    }

    /** Returns whether the server is healthy. */
    public boolean isHealthy() {
        return healthy;
    }

    /** Returns the advertised capacity; empty until it is first set. */
    OptionalDouble advertisedCapacity() {
        return advertisedCapacity;
    }

    /**
     * Answers a check, at once or when the deep check has ended.
     *
     * @param full whether the client requested a full check
     * @param callback receives whether the server is healthy
     */
    void check(boolean full, Consumer<Boolean> callback) {
        if (full && healthy && !answersFullChecks) {
            deepCheck.accept(callback);
        } else {
            callback.accept(healthy);
        }
    }
}
