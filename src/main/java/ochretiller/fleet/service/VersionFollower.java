package ochretiller.fleet.service;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.logging.Logger;
import ochretiller.collections.BoundedMap;
import ochretiller.fleet.consensus.PublishedVersion;
import ochretiller.fleet.consensus.ReplicaPlacement;
import ochretiller.fleet.consensus.RolloutState;
import ochretiller.fleet.membership.MemberSnapshot;
import ochretiller.fleet.rollout.OutboundChunkRequest;
import ochretiller.fleet.rollout.RolloutMessage;
import ochretiller.fleet.rollout.RolloutStages;
import ochretiller.fleet.rollout.VersionCounters;
import ochretiller.fleet.rollout.VersionDownload;
import ochretiller.fleet.rollout.VersionReport;

/**
 * Activates the version that is committed for this server, after downloading it if necessary, and
 * counts the outcomes of invocations by version. Confined to the event loop.
 */
final class VersionFollower {
    private static final Logger LOG = Logger.getLogger(RolloutService.class.getName());

    /** Value of {@link #rejectedVersion} if no version has been rejected. */
    private static final long NO_VERSION = 0;

    private final FleetContext context;
    private final String build;
    private final List<String> acceptors;
    private final VersionFiles files;
    private final VersionActivator activator;
    private final VersionDownload download;
    private final Map<Long, VersionCounters> countersByVersion =
            BoundedMap.evictingOldest(VersionFiles.MAX_CACHED_VERSIONS);
    private ReplicaPlacement placement = ReplicaPlacement.empty(1);
    private PublishedVersion active = PublishedVersion.NONE;
    private long rejectedVersion = NO_VERSION;
    private String rejectionReason = "";
    private volatile long activeNumberGauge;

    /**
     * Creates the follower.
     *
     * @param build build number of this program, compared with the minimum build of a version
     * @param acceptors names of the acceptors; a majority has a version before it is committed
     */
    VersionFollower(
            FleetContext context,
            String build,
            List<String> acceptors,
            VersionFiles files,
            VersionActivator activator) {
        this.context = context;
        this.build = build;
        this.acceptors = acceptors;
        this.files = files;
        this.activator = activator;
        this.download = new VersionDownload(context.random());
    }

    /** Reactivates the version that a previous process used last. */
    void restore() {
        try {
            files.load().ifPresent(this::restore);
        } catch (IOException e) {
            LOG.warning("fleet: cannot read the previously active version: " + e.getMessage());
        }
    }

    private void restore(PublishedVersion previous) {
        if (previous.usesLocalFiles()) {
            active = previous;
            return;
        }
        byte[] version = files.find(previous.hash()).orElse(null);
        String fault =
                version == null ? "its bytes are missing or corrupt" : activator.activate(version);
        if (fault != null) {
            LOG.severe(
                    "fleet: cannot reactivate version "
                            + previous.number()
                            + ", downloading it again: "
                            + fault);
            return;
        }
        active = previous;
        activeNumberGauge = previous.number();
    }

    /** Returns the active version. */
    PublishedVersion active() {
        return active;
    }

    /** Returns the number of the active version. Callable from any thread. */
    long activeNumberGauge() {
        return activeNumberGauge;
    }

    /** Returns the number of the version rejected last and the reason, or an empty string. */
    String rejection() {
        return rejectedVersion == NO_VERSION ? "" : rejectedVersion + ": " + rejectionReason;
    }

    /** Counts the outcome of an invocation that was bound to a version. */
    void recordOutcome(long version, VersionCounters outcome) {
        countersByVersion.merge(version, outcome, VersionCounters::plus);
    }

    /** Adopts a committed placement and activates the version that it assigns to this server. */
    void adoptPlacement(ReplicaPlacement committed) {
        placement = committed;
        activateOrDownload();
    }

    private void activateOrDownload() {
        PublishedVersion target = RolloutStages.targetVersion(placement, context.serverName());
        boolean isActive =
                target.number() == active.number() && target.hash().equals(active.hash());
        if (isActive || target.number() == rejectedVersion) {
            return;
        }
        if (target.usesLocalFiles()) {
            activate(target, null);
            return;
        }
        Optional<byte[]> version = files.find(target.hash());
        if (version.isPresent()) {
            activate(target, version.get());
        } else {
            download.start(target, context.scheduler().now());
        }
    }

    private void activate(PublishedVersion target, byte[] version) {
        String fault =
                needsNewerBuild(target)
                        ? "this build is " + build + ", and it needs " + target.minimumBuild()
                        : activator.activate(version);
        if (fault != null) {
            reject(target, fault);
            return;
        }
        active = target;
        activeNumberGauge = target.number();
        rejectionReason = "";
        LOG.info("fleet: activated version " + target.number());
        activator.recordEvent(RolloutEvent.VERSION_CHANGED, target, "");
        files.storeActive(target);
    }

    private boolean needsNewerBuild(PublishedVersion target) {
        return !target.minimumBuild().isEmpty()
                && BuildNumbers.isOlder(build, target.minimumBuild());
    }

    private void reject(PublishedVersion target, String fault) {
        rejectedVersion = target.number();
        rejectionReason =
                fault.substring(0, Math.min(fault.length(), VersionReport.MAX_REASON_LENGTH));
        LOG.severe("fleet: rejected version " + target.number() + ": " + fault);
        activator.recordEvent(RolloutEvent.VERSION_REJECTED, target, rejectionReason);
    }

    /** Requests missing chunks. */
    void tick(Duration now) {
        for (OutboundChunkRequest each : download.tick(sources(), now)) {
            context.sender().send(each.recipient(), each.request());
        }
    }

    /** Handles a chunk of the version that is being downloaded, and requests the next ones. */
    void receive(RolloutMessage.Chunk chunk, Duration now) {
        download.accept(chunk, now).ifPresent(version -> onDownloaded(chunk.hash(), version, now));
        tick(now);
    }

    private void onDownloaded(String hash, byte[] version, Duration now) {
        if (!VersionFiles.hashOf(version).equals(hash)) {
            download.discardCorrupt(now);
            return;
        }
        files.store(hash, version, active.hash(), () -> {});
        activateOrDownload();
    }

    /** Returns the live servers that may have the version, those of this server's zone first. */
    private List<String> sources() {
        if (!download.isIncomplete()) {
            return List.of();
        }
        String ownZone = ownZone();
        List<String> sameZone = new ArrayList<>();
        List<String> otherZones = new ArrayList<>();
        for (MemberSnapshot each : context.view().get()) {
            if (each.isSelf() || !each.member().state().isLive()) {
                continue;
            }
            String server = each.member().id().name();
            if (acceptors.contains(server) || RolloutStages.includes(placement, server)) {
                boolean isSameZone = each.member().zone().equals(ownZone);
                (isSameZone ? sameZone : otherZones).add(server);
            }
        }
        sameZone.addAll(otherZones);
        return sameZone;
    }

    private String ownZone() {
        String zone = "";
        for (MemberSnapshot each : context.view().get()) {
            if (each.isSelf()) {
                zone = each.member().zone();
            }
        }
        return zone;
    }

    /** Returns this server's report to the acceptors. */
    VersionReport report() {
        RolloutState rollout = placement.rollout();
        long candidate = rollout.target().number();
        long baseline = rollout.previous().number();
        return new VersionReport(
                active.number(),
                active.hash(),
                rejectedVersion,
                rejectionReason,
                candidate,
                countersOf(candidate),
                baseline == candidate ? VersionCounters.ZERO : countersOf(baseline));
    }

    private VersionCounters countersOf(long version) {
        return countersByVersion.getOrDefault(version, VersionCounters.ZERO);
    }
}
