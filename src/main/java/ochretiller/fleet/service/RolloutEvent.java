package ochretiller.fleet.service;

/** Events of a rollout that are recorded in the audit log. */
public enum RolloutEvent {
    /** This server has put another version into use. */
    CHANGED,
    /** This server cannot use a version that it is to use. */
    REFUSED,
    /** This server's lease has ended: it is fenced off. */
    SHUT_OUT,
    /** This server has a lease again. */
    LET_IN,
    /** A version was published at this server. */
    PUBLISHED,
    /** The rollout has come to another stage or phase. */
    ROLLOUT,
    /** The end of another server's audit log, as that server has reported it. */
    WITNESSED
}
