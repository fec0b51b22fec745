package ochretiller.fleet.service;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.logging.Logger;
import ochretiller.fleet.consensus.PublishedVersion;
import ochretiller.fleet.rollout.Lease;

/**
 * This server's lease (Gray and Cheriton 1989): without one from a majority of the acceptors it
 * throttles invocations with an idempotency key, since it may have missed a version. On the event
 * loop.
 */
final class LeaseHolder {
    private static final Logger LOG = Logger.getLogger(RolloutService.class.getName());

    /** Leaves room for all requests of one incarnation above the first number. */
    private static final int REQUEST_ID_SHIFT = 16;

    private static final double NANOS_PER_SECOND = 1e9;

    private final FleetContext context;
    private final VersionActivator activator;
    private final boolean isRequired;
    private final Lease lease;
    private boolean wasFencedOff;
    private volatile double remainingSecondsGauge;

    /**
     * Creates a holder without a lease.
     *
     * @param duration of a lease; zero if none is required
     */
    LeaseHolder(
            FleetContext context,
            List<String> acceptors,
            Duration duration,
            VersionActivator activator) {
        this.context = context;
        this.activator = activator;
        this.isRequired = !duration.isZero();
        this.lease =
                new Lease(
                        Set.copyOf(acceptors),
                        duration,
                        context.random().nextLong() >>> REQUEST_ID_SHIFT);
    }

    /** Returns whether this server may serve at this moment, by its own monotonic clock. */
    boolean isAllowedToServe() {
        return !isRequired || lease.isHeld(context.scheduler().exact());
    }

    /** Logs and records when the lease ends and when there is one again. */
    void reportTransition(PublishedVersion active) {
        boolean isFencedOff = !isAllowedToServe();
        // After a start there has been no lease yet, and nothing to report.
        boolean hadLease = !lease.expiresAt().isZero();
        if (isFencedOff != wasFencedOff && hadLease) {
            if (isFencedOff) {
                LOG.warning(
                        "fleet: the voters do not renew this server's lease: keyed work is"
                                + " throttled");
                activator.told(RolloutEvent.SHUT_OUT, active, "its lease has ended");
            } else {
                LOG.warning("fleet: this server's lease holds: keyed work is let in");
                activator.told(RolloutEvent.LET_IN, active, "its lease holds");
            }
        }
        wasFencedOff = isFencedOff;
    }

    /** Begins a renewal and returns the number that names it. */
    long startRenewal(Duration now) {
        remainingSecondsGauge =
                Math.max(0, lease.expiresAt().minus(now).toNanos() / NANOS_PER_SECOND);
        return lease.startRenewal(now);
    }

    /** Takes an acceptor's answer. */
    void receiveReply(String acceptor, long requestId, boolean isGranted) {
        if (isGranted) {
            lease.recordGrant(acceptor, requestId);
        }
    }

    /** Returns the rest of the lease; negative if it has ended. */
    Duration remaining() {
        return lease.expiresAt().minus(context.scheduler().now());
    }

    /** Returns the rest of the lease in seconds as of the last renewal. From any thread. */
    double remainingSecondsGauge() {
        return remainingSecondsGauge;
    }
}
