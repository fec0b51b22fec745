package ochretiller.fleet.membership;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Set;

/** One member in the table, and what this server thinks beside what it says. */
final class MemberRecord {
    Member member;

    /** Since when it is in its state, on the waking clock. */
    Duration since;

    /** Who was not answered, while it is suspect. */
    final Set<Long> accusers = new LinkedHashSet<>();

    /** This server's own probe failed: it goes on asking. */
    boolean own;

    /** Thought here only: whoever hears nobody keeps its verdicts to itself. */
    boolean unsaid;

    /** Others have judged it already: no more time than the shortest. */
    boolean judged;

    /** When it was last sent a view. */
    Duration synced;

    MemberRecord(Member member, Duration since) {
        this.member = member;
        this.since = since;
    }
}
