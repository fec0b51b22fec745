package ochretiller.fleet.membership;

/** What {@link MembershipCounters} count since the start of the process. */
public enum MembershipCounter {
    /** Members probed in the round. */
    PROBES,
    /** Scheduled probes that were answered neither directly nor through others. */
    FAILED_PROBES,
    /** Scheduled probes for which other members were asked to probe. */
    INDIRECT_PROBES,
    /** Times that a member became suspect, or was accused anew. */
    SUSPICIONS,
    /** Times that this server refuted an accusation. */
    REFUTATIONS,
    /** Times that a member was taken for unresponsive. */
    BECAME_UNRESPONSIVE,
    /** Times that an unresponsive member came back. */
    RETURNED,
    /** Members added to the view. */
    JOINED,
    /** Members that announced that they leave. */
    LEFT,
    /** Comparisons of views that this server began. */
    SYNCS,
    /** Comparisons that it refused to answer, for their number or their form. */
    SYNCS_REJECTED,
    /** Updates of live members that are not in the view. */
    UNKNOWN_MEMBERS,
    /** Newcomers and verifications for which there was no room. */
    CAPACITY_REJECTIONS,
    /** Other processes found with this server's name or address. */
    DUPLICATE_NAMES,
    /** Ticks that came late, a sign of an overloaded or paused process. */
    LATE_TICKS
}
