package ochretiller.jsonrpc;

import java.util.OptionalDouble;
import java.util.function.Consumer;

/**
 * Answers health checks, and holds the advertised capacity that goes out with each answer. Belongs
 * to the event loop.
 */
public final class HealthChecks {
    private final Consumer<Consumer<Boolean>> deep;
    private boolean good;
    private boolean stored = true;
    private OptionalDouble hint = OptionalDouble.empty();

    /**
     * Checks that fail until {@link #set} is called.
     *
     * @param deep starts a deep check and tells its callback whether the check succeeded
     */
    public HealthChecks(Consumer<Consumer<Boolean>> deep) {
        this.deep = deep;
    }

    /**
     * Sets what checks are answered.
     *
     * @param nowGood whether the server is healthy
     * @param nowStored whether that also answers full checks; otherwise each starts a deep check
     */
    public void set(boolean nowGood, boolean nowStored) {
        good = nowGood;
        stored = nowStored;
    }

    /** Sets the capacity that is advertised to gateways. */
    public void advertise(double value) {
        hint = OptionalDouble.of(value);
    }

    /** Whether the server is healthy. */
    public boolean good() {
        return good;
    }

    /** The advertised capacity; empty until one was set. */
    OptionalDouble hint() {
        return hint;
    }

    /**
     * Answers a check, at once or when the deep check is over.
     *
     * @param full whether the client asked for a full check
     * @param then told whether the server is healthy
     */
    void check(boolean full, Consumer<Boolean> then) {
        if (full && good && !stored) {
            deep.accept(then);
        } else {
            then.accept(good);
        }
    }
}
