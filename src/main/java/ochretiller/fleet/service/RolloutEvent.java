package ochretiller.fleet.service;

/** Events of a rollout that are recorded in the audit log. */
public enum RolloutEvent {
    /** This server activated another version. */
    CHANGED,
    /** This server cannot activate its committed version. */
    REFUSED,
    /** This server's lease expired, so the server is fenced. */
    SHUT_OUT,
    /** This server's lease is valid again. */
    LET_IN,
    /** A version was published through this server. */
    PUBLISHED,
    /** The rollout reached another stage or phase. */
    ROLLOUT,
    /** Another server reported the head of its audit chain. */
    WITNESSED
}
