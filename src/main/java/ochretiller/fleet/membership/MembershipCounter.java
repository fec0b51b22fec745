package ochretiller.fleet.membership;

/** The events that {@link MembershipCounters} count. */
public enum MembershipCounter {
    /** Probes of the round; further probes of suspects are not counted. */
    PROBES,
    /** Scheduled probes that were answered neither directly nor indirectly. */
    FAILED_PROBES,
    /** Scheduled probes for which indirect probes were requested. */
    INDIRECT_PROBES,
    /** Suspicions started, including those restarted for a higher state version. */
    SUSPICIONS,
    /** Accusations that this server refuted. */
    REFUTATIONS,
    /** Times that a member became unresponsive. */
    BECAME_UNRESPONSIVE,
    /** Times that an unresponsive member became alive again. */
    RETURNED,
    /** Members added to the view. */
    JOINED,
    /** Members that announced their leave. */
    LEFT,
    /** Comparisons of views started by this server. */
    SYNCS,
    /** Comparisons not answered because there were too many or they were malformed. */
    SYNCS_REJECTED,
    /** Updates of live members that are not in this view. */
    UNKNOWN_MEMBERS,
    /** New members and verifications rejected because the table or queue was full. */
    CAPACITY_REJECTIONS,
    /** Reports of other processes with this server's name or address. */
    DUPLICATE_NAMES,
    /** Ticks that were late, a sign of an overloaded or paused process. */
    LATE_TICKS
}
