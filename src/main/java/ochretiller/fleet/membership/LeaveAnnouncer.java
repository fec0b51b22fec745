package ochretiller.fleet.membership;

import java.util.List;

/** Announces to all live members that this server leaves, several times, against loss. */
final class LeaveAnnouncer {
    private static final int ANNOUNCEMENTS = 3;

    private final ProtocolContext context;
    private int announcementsLeft;

    LeaveAnnouncer(ProtocolContext context) {
        this.context = context;
    }

    /** Leaves; does nothing if this server has left already. */
    void leave() {
        if (context.hasLeft()) {
            return;
        }
        context.updateSelf(MemberState.LEFT, context.self().stateVersion() + 1);
        context.gossip().add(context.self().incarnation(), false);
        announcementsLeft = ANNOUNCEMENTS;
        announceAgain();
    }

    /** Announces it once more, if it has not been announced often enough; once a tick. */
    void announceAgain() {
        if (announcementsLeft == 0) {
            return;
        }
        announcementsLeft--;
        MembershipMessage announcement =
                new MembershipMessage.UpdatePage(List.of(context.self().toUpdate(0)));
        for (MemberRecord known : context.table().all()) {
            if (known.isLive()) {
                context.send(known.member().address(), announcement);
            }
        }
    }

    /** Appends all that decides how it goes on. */
    void describe(StringBuilder text) {
        text.append(" l").append(announcementsLeft);
    }
}
