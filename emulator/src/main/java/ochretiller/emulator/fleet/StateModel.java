package ochretiller.emulator.fleet;

/**
 * A small system whose orders of events are explored exhaustively. Each state is reached by
 * creating a new model and performing a path of actions on it.
 */
public interface StateModel {
    /** Number of actions in this state, numbered from 0; some of them may not be possible. */
    int actions();

    /** Performs an action; returns false if it is not possible in this state. */
    boolean act(int action);

    /** A hash that is equal for states with the same behaviour from here on. */
    long fingerprint();

    /** The rule that this state violates, or null. */
    String broken();

    /** Runs on without faults; returns the steps until the model settles, or -1 if it does not. */
    int settles();
}
