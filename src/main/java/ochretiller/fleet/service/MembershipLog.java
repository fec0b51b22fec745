package ochretiller.fleet.service;

import java.time.Duration;
import java.util.logging.Logger;
import ochretiller.fleet.membership.Member;
import ochretiller.fleet.membership.MemberState;
import ochretiller.fleet.membership.MembershipChange;

/**
 * Logs membership changes at a limited rate, so that a flapping fleet does not flood the log.
 * Confined to the event loop.
 */
final class MembershipLog {
    private static final Logger LOG = Logger.getLogger(FleetService.class.getName());

    /** Maximum lines per interval; the number of omitted lines is logged in a later one. */
    private static final int MAX_LOG_LINES = 20;

    private static final Duration LOG_LINE_INTERVAL = Duration.ofSeconds(10);

    private Duration intervalStart = Duration.ZERO;
    private int lines;

    /** Returns whether a change may be logged, and counts it. */
    boolean tryAcquireLine(Duration now) {
        if (now.minus(intervalStart).compareTo(LOG_LINE_INTERVAL) >= 0) {
            if (lines > MAX_LOG_LINES) {
                int omitted = lines - MAX_LOG_LINES;
                LOG.info(() -> "fleet: omitted " + omitted + " log lines about membership changes");
            }
            intervalStart = now;
            lines = 0;
        }
        lines++;
        return lines <= MAX_LOG_LINES;
    }

    /**
     * Logs a change.
     *
     * @param otherLiveMembers number of live members, not counting this server
     */
    void log(MembershipChange change, int otherLiveMembers) {
        Member member = change.member();
        if (change instanceof MembershipChange.StateChanged) {
            logState(member);
        } else if (change instanceof MembershipChange.DuplicateName) {
            LOG.warning(
                    "fleet: another process uses the name or address of this server: "
                            + member.id()
                            + " at "
                            + member.address());
        } else if (change instanceof MembershipChange.Joined) {
            LOG.info(() -> "fleet: joined, with " + otherLiveMembers + " others");
        } else if (change instanceof MembershipChange.SuspicionRefuted) {
            LOG.info("fleet: refuted another member's report that this server does not respond");
        } else if (change instanceof MembershipChange.Forgotten) {
            LOG.fine(() -> "fleet: " + member.id() + " is removed from the view");
        }
    }

    private static void logState(Member member) {
        if (member.state() != MemberState.SUSPECT) {
            LOG.info(
                    () ->
                            "fleet: "
                                    + member.id()
                                    + " at "
                                    + member.address()
                                    + " is "
                                    + member.state().externalName());
        }
    }
}
