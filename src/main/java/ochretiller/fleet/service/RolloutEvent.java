package ochretiller.fleet.service;

/** Events of a rollout that are recorded in the audit log. */
public enum RolloutEvent {
    /** This server activated another version. */
    VERSION_CHANGED,
    /** This server cannot activate its committed version. */
    VERSION_REJECTED,
    /** This server's lease expired, so the server is fenced. */
    FENCED,
    /** This server's lease is valid again. */
    UNFENCED,
    /** A version was published through this server. */
    VERSION_PUBLISHED,
    /** The rollout reached another stage or phase. */
    ROLLOUT_CHANGED,
    /** Another server reported the head of its audit chain. */
    PEER_AUDIT_WITNESSED
}
