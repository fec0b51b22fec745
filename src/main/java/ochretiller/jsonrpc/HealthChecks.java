package ochretiller.jsonrpc;

import java.util.function.Consumer;

/** What health checks are told, and the free value that goes out with each answer. */
public final class HealthChecks {
    private final Consumer<Consumer<Boolean>> deep;
    private boolean good;
    private boolean stored = true;
    private Double hint;

    /**
     * Bad until it is set.
     *
     * @param deep does the work of a deep check and tells whether it was done
     */
    public HealthChecks(Consumer<Consumer<Boolean>> deep) {
        this.deep = deep;
    }

    public void set(boolean nowGood, boolean nowStored) {
        good = nowGood;
        stored = nowStored;
    }

    public void advertise(double value) {
        hint = value;
    }

    public boolean good() {
        return good;
    }

    /** The free value, or null where none was set. */
    Double hint() {
        return hint;
    }

    void check(boolean full, Consumer<Boolean> then) {
        if (full && good && !stored) {
            deep.accept(then);
        } else {
            then.accept(good);
        }
    }
}
