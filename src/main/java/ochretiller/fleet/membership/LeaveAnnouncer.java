package ochretiller.fleet.membership;

import java.util.List;

/** Announces to all live members that this server leaves, repeatedly in case packets are lost. */
final class LeaveAnnouncer {
    private static final int ANNOUNCEMENT_COUNT = 3;

    private final ProtocolContext context;
    private int remainingAnnouncements;

    LeaveAnnouncer(ProtocolContext context) {
        this.context = context;
    }

    /** Marks this server as left and announces it; does nothing if it has left already. */
    void leave() {
        if (context.hasLeft()) {
            return;
        }
        context.updateSelf(MemberState.LEFT, context.self().stateVersion() + 1);
        context.gossip().add(context.self().incarnation(), false);
        remainingAnnouncements = ANNOUNCEMENT_COUNT;
        announceAgain();
    }

    /** Repeats the announcement until it has been sent often enough; called once per tick. */
    void announceAgain() {
        if (remainingAnnouncements == 0) {
            return;
        }
        remainingAnnouncements--;
        MembershipMessage announcement =
                new MembershipMessage.UpdatePage(List.of(context.self().toUpdate(0)));
        for (MemberRecord record : context.table().all()) {
            if (record.isLive()) {
                context.send(record.member().address(), announcement);
            }
        }
    }

    /** Appends the state as text. */
    void describe(StringBuilder text) {
        text.append(" l").append(remainingAnnouncements);
    }
}
