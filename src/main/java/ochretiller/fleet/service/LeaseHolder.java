package ochretiller.fleet.service;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.logging.Logger;
import ochretiller.fleet.consensus.PublishedVersion;
import ochretiller.fleet.rollout.Lease;

/**
 * Holds this server's lease (Gray and Cheriton 1989). Without a lease from a majority of the
 * acceptors, this server throttles keyed invocations, since it may have missed a version. Confined
 * to the event loop.
 */
final class LeaseHolder {
    private static final Logger LOG = Logger.getLogger(RolloutService.class.getName());

    /** Limits the first request ID, so that later IDs of this incarnation do not overflow. */
    private static final int REQUEST_ID_SHIFT = 16;

    private static final double NANOS_PER_SECOND = 1e9;

    private final FleetContext context;
    private final VersionActivator activator;
    private final boolean isRequired;
    private final Lease lease;
    private boolean wasFenced;
    private volatile double remainingSecondsGauge;

    /**
     * Creates a holder without a lease.
     *
     * @param duration duration of a lease; zero if no lease is required
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

    /** Returns whether this server may serve now, by its own monotonic clock. */
    boolean isAllowedToServe() {
        return !isRequired || lease.isHeld(context.scheduler().exactNow());
    }

    /** Logs and audits when the lease expires and when it is renewed after that. */
    void reportTransition(PublishedVersion active) {
        boolean isFenced = !isAllowedToServe();
        // Before the first lease after a start there is no transition to report.
        boolean hadLease = !lease.expiresAt().isZero();
        if (isFenced != wasFenced && hadLease) {
            if (isFenced) {
                LOG.warning(
                        "fleet: this server's lease was not renewed and has expired; throttling"
                                + " keyed invocations");
                activator.recordEvent(RolloutEvent.FENCED, active, "its lease has ended");
            } else {
                LOG.warning("fleet: this server's lease is valid; accepting keyed invocations");
                activator.recordEvent(RolloutEvent.UNFENCED, active, "its lease holds");
            }
        }
        wasFenced = isFenced;
    }

    /** Starts a renewal and returns its request ID. */
    long startRenewal(Duration now) {
        remainingSecondsGauge =
                Math.max(0, lease.expiresAt().minus(now).toNanos() / NANOS_PER_SECOND);
        return lease.startRenewal(now);
    }

    /** Handles an acceptor's reply to a renewal. */
    void receiveReply(String acceptor, long requestId, boolean isGranted) {
        if (isGranted) {
            lease.recordGrant(acceptor, requestId);
        }
    }

    /** Returns the remaining time of the lease; negative if it has expired. */
    Duration remaining() {
        return lease.expiresAt().minus(context.scheduler().now());
    }

    /** Returns the remaining seconds as of the last renewal request. Callable from any thread. */
    double remainingSecondsGauge() {
        return remainingSecondsGauge;
    }
}
