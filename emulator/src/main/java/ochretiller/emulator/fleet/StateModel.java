package ochretiller.emulator.fleet;

/**
 * A small system whose orders of events are explored exhaustively. Each state is reached by
 * creating a new model and performing a path of actions on it.
 */
public interface StateModel {
    /** Number of actions in this state, numbered from 0; some of them may not be possible. */
    int actionCount();

    /** Performs an action; returns false if it is not possible in this state. */
    boolean perform(int action);

    /** Returns a hash that is equal for states that behave the same from then on. */
    long fingerprint();

    /** The rule that this state violates, or null. */
    String violation();

    /** Continues without faults; returns the steps until the model settles, -1 if it does not. */
    int roundsToSettle();
}
