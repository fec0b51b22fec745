package ochretiller.fleet.rollout;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import ochretiller.fleet.consensus.PublishedVersion;
import ochretiller.fleet.consensus.ReplicaPlacement;

/**
 * The acceptor's side of leases: renews those of servers that run the version that is committed for
 * them, and, for a grace period, of servers whose version has just changed. A straggler is fenced:
 * its lease is left to expire. Servers that have caught up are readmitted at a bounded rate. Not
 * thread-safe; time and random numbers are handed in.
 */
public final class LeaseGrantor {
    /**
     * Share of the servers that may be fenced: with more stragglers nobody is, since that would be
     * the greater harm.
     */
    static final double MAX_FENCED_SHARE = 0.34;

    /** Servers that are readmitted in a second. */
    private static final double READMISSION_RATE = 2;

    /** Readmissions that are saved up. */
    private static final double READMISSION_BURST = 2;

    private final Duration gracePeriod;
    private final RandomGenerator random;
    private final Set<String> fenced = new HashSet<>();
    private final Map<String, Assignment> assignments = new HashMap<>();
    private Optional<ReplicaPlacement> adopted = Optional.empty();
    private double readmissions = READMISSION_BURST;
    private Duration refilledAt = Duration.ZERO;

    /** The version that a server has to run, and since when, as this acceptor knows. */
    private record Assignment(PublishedVersion version, Duration since) {}

    /**
     * @param gracePeriod how long a server may take to activate the version that is committed for
     *     it
     * @param random spreads readmissions
     */
    public LeaseGrantor(Duration gracePeriod, RandomGenerator random) {
        this.gracePeriod = gracePeriod;
        this.random = random;
    }

    /** Returns the names of the servers that are fenced. */
    public Set<String> fencedServers() {
        return Set.copyOf(fenced);
    }

    /**
     * Decides whether a server's lease is renewed.
     *
     * @param reports the last report of each reachable server, this one among them, by name
     */
    public boolean renew(
            ReplicaPlacement placement,
            String name,
            Map<String, VersionReport> reports,
            Duration now) {
        adoptPlacement(placement, now);
        forgetUnknown(placement, reports.keySet());
        Set<String> stragglers = stragglers(placement, reports, now);
        // A share of all servers: an acceptor that hears from few must not take those for the
        // fleet.
        int servers = Math.max(reports.size(), placement.servers().size());
        boolean straggler = stragglers.contains(name);
        if (straggler && stragglers.size() <= Math.max(1, MAX_FENCED_SHARE * servers)) {
            fenced.add(name);
            return false;
        }
        if (straggler || !fenced.contains(name)) {
            return true;
        }
        return tryReadmit(name, now);
    }

    private void forgetUnknown(ReplicaPlacement placement, Set<String> reporting) {
        fenced.retainAll(reporting);
        assignments
                .keySet()
                .removeIf(name -> !reporting.contains(name) && !placement.contains(name));
    }

    private Set<String> stragglers(
            ReplicaPlacement placement, Map<String, VersionReport> reports, Duration now) {
        Set<String> stragglers = new HashSet<>();
        reports.forEach(
                (name, report) -> {
                    if (isStraggler(placement, name, report, now)) {
                        stragglers.add(name);
                    }
                });
        return stragglers;
    }

    private boolean isStraggler(
            ReplicaPlacement placement, String name, VersionReport report, Duration now) {
        Assignment assignment = assign(placement, name, now);
        return !report.isRunning(assignment.version)
                && now.minus(assignment.since).compareTo(gracePeriod) >= 0;
    }

    /**
     * Servers that were fenced together would come back together: a token bucket and chance spread
     * them.
     */
    private boolean tryReadmit(String name, Duration now) {
        double seconds = Math.max(0, now.minus(refilledAt).toNanos() / 1e9);
        readmissions = Math.min(READMISSION_BURST, readmissions + seconds * READMISSION_RATE);
        refilledAt = now;
        if (readmissions < 1 || random.nextInt(2) == 0) {
            return false;
        }
        readmissions--;
        fenced.remove(name);
        return true;
    }

    /**
     * Adopts what is committed. Grace periods count from here and not from a server's next report,
     * so that a server that could not be heard meanwhile has had its time.
     */
    public void adoptPlacement(ReplicaPlacement placement, Duration now) {
        if (adopted.equals(Optional.of(placement))) {
            return;
        }
        adopted = Optional.of(placement);
        placement.servers().forEach(server -> assign(placement, server.name(), now));
        Set.copyOf(assignments.keySet()).forEach(name -> assign(placement, name, now));
    }

    private Assignment assign(ReplicaPlacement placement, String name, Duration now) {
        PublishedVersion version = RolloutStages.targetVersion(placement, name);
        return assignments.merge(
                name,
                new Assignment(version, now),
                (known, next) -> known.version.equals(version) ? known : next);
    }
}
