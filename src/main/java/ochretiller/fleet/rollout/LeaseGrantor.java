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
 * The acceptor's side of leases. Renews the leases of servers that run the version committed for
 * them and, during a grace period, of servers whose committed version has just changed. A straggler
 * is fenced: its lease is not renewed and expires. Servers that have caught up are readmitted at a
 * bounded rate. Not thread-safe; time and random numbers are passed in.
 */
public final class LeaseGrantor {
    /**
     * Maximum share of servers that may be fenced. If more are stragglers, none is fenced, since
     * fencing them would do more harm than the old version.
     */
    static final double MAX_FENCED_SHARE = 0.34;

    /** Readmitted servers per second. */
    private static final double READMISSION_RATE = 2;

    /** Capacity of the token bucket that limits readmissions. */
    private static final double READMISSION_BURST = 2;

    private final Duration gracePeriod;
    private final RandomGenerator random;
    private final Set<String> fencedServers = new HashSet<>();
    private final Map<String, Assignment> assignments = new HashMap<>();
    private Optional<ReplicaPlacement> adoptedPlacement = Optional.empty();
    private double readmissionTokens = READMISSION_BURST;
    private Duration refilledAt = Duration.ZERO;

    /** The version that a server has to run, and since when this acceptor knows of it. */
    private record Assignment(PublishedVersion version, Duration knownSince) {}

    /**
     * Creates a grantor that has fenced no server.
     *
     * @param gracePeriod how long a server may take to activate its committed version
     * @param random source of random numbers to spread readmissions
     */
    public LeaseGrantor(Duration gracePeriod, RandomGenerator random) {
        this.gracePeriod = gracePeriod;
        this.random = random;
    }

    /** Returns the names of the servers that are fenced. */
    public Set<String> fencedServers() {
        return Set.copyOf(fencedServers);
    }

    /**
     * Decides whether to renew a server's lease.
     *
     * @param reports the latest report of each reachable server by name, including this server
     */
    public boolean renew(
            ReplicaPlacement placement,
            String server,
            Map<String, VersionReport> reports,
            Duration now) {
        adoptPlacement(placement, now);
        removeUnknown(placement, reports.keySet());
        Set<String> stragglers = stragglers(placement, reports, now);
        // Includes the placement, so that an acceptor with few reports does not mistake their
        // senders for the whole fleet.
        int servers = Math.max(reports.size(), placement.servers().size());
        boolean isStraggler = stragglers.contains(server);
        if (isStraggler && stragglers.size() <= Math.max(1, MAX_FENCED_SHARE * servers)) {
            fencedServers.add(server);
            return false;
        }
        if (isStraggler || !fencedServers.contains(server)) {
            return true;
        }
        return tryReadmit(server, now);
    }

    private void removeUnknown(ReplicaPlacement placement, Set<String> reporting) {
        fencedServers.retainAll(reporting);
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
                && now.minus(assignment.knownSince).compareTo(gracePeriod) >= 0;
    }

    /** Spreads the readmission of servers that were fenced together, by tokens and at random. */
    private boolean tryReadmit(String server, Duration now) {
        double seconds = Math.max(0, now.minus(refilledAt).toNanos() / 1e9);
        readmissionTokens =
                Math.min(READMISSION_BURST, readmissionTokens + seconds * READMISSION_RATE);
        refilledAt = now;
        if (readmissionTokens < 1 || random.nextInt(2) == 0) {
            return false;
        }
        readmissionTokens--;
        fencedServers.remove(server);
        return true;
    }

    /**
     * Adopts a committed placement. Grace periods start now rather than at a server's next report,
     * so that they also elapse for servers that are unreachable meanwhile.
     */
    public void adoptPlacement(ReplicaPlacement placement, Duration now) {
        if (adoptedPlacement.equals(Optional.of(placement))) {
            return;
        }
        adoptedPlacement = Optional.of(placement);
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
