package ochretiller.emulator.fleet;

/**
 * A small world whose orders of events are all explored: made anew, and led along a path of
 * actions.
 */
public interface StateModel {
    /** Actions that may be tried now, numbered from 0; some of them may turn out to be none. */
    int actions();

    /** Does one; false where there is no such action now. */
    boolean act(int action);

    /** Equal where two states go on alike. */
    long fingerprint();

    /** What rule is broken in this state, or null. */
    String broken();

    /** With all faults gone: steps until all is well, or -1 where it never is. */
    int settles();
}
