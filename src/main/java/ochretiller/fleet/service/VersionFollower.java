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
 * Puts the version that is committed for this server into use: downloads it if necessary, checks
 * it, and counts how the invocations under it end. On the event loop.
 */
final class VersionFollower {
    private static final Logger LOG = Logger.getLogger(RolloutService.class.getName());

    /** No version has been rejected. */
    private static final long NONE_REJECTED = 0;

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
    private long rejectedVersion = NONE_REJECTED;
    private String rejectionReason = "";
    private volatile long activeNumberGauge;

    /**
     * Creates the follower.
     *
     * @param build of this program, compared with the minimum that a version needs
     * @param acceptors names of the servers that have all versions first
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

    /** Puts the version into use that a previous process has used. */
    void restore() {
        try {
            files.load().ifPresent(this::restore);
        } catch (IOException e) {
            LOG.warning(
                    "fleet: what version was acted on before cannot be read: " + e.getMessage());
        }
    }

    private void restore(PublishedVersion previous) {
        if (previous.usesLocalFiles()) {
            active = previous;
            return;
        }
        byte[] version = files.find(previous.hash()).orElse(null);
        String fault =
                version == null ? "its bytes are not what they were" : activator.become(version);
        if (fault != null) {
            LOG.severe(
                    "fleet: version "
                            + previous.number()
                            + " cannot be acted on any more, it is fetched again: "
                            + fault);
            return;
        }
        active = previous;
        activeNumberGauge = previous.number();
    }

    /** Returns the version in use. */
    PublishedVersion active() {
        return active;
    }

    /** Returns the number of the version in use. From any thread. */
    long activeNumberGauge() {
        return activeNumberGauge;
    }

    /** Returns the number and the reason of the last version that was rejected, or nothing. */
    String rejection() {
        return rejectedVersion == NONE_REJECTED ? "" : rejectedVersion + ": " + rejectionReason;
    }

    /** Counts how an invocation has ended that was read under a version. */
    void recordOutcome(long version, VersionCounters outcome) {
        countersByVersion.merge(version, outcome, VersionCounters::plus);
    }

    /** Follows a placement that has been committed. */
    void adoptPlacement(ReplicaPlacement committed) {
        placement = committed;
        follow();
    }

    private void follow() {
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
                        : activator.become(version);
        if (fault != null) {
            reject(target, fault);
            return;
        }
        active = target;
        activeNumberGauge = target.number();
        rejectionReason = "";
        LOG.info("fleet: acts on version " + target.number());
        activator.told(RolloutEvent.CHANGED, target, "");
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
        LOG.severe("fleet: version " + target.number() + " is refused: " + fault);
        activator.told(RolloutEvent.REFUSED, target, rejectionReason);
    }

    /** Requests missing chunks. */
    void tick(Duration now) {
        for (OutboundChunkRequest each : download.tick(sources(), now)) {
            context.sender().send(each.recipient(), each.request());
        }
    }

    /** Takes a chunk of the version that is being downloaded, and requests the next ones. */
    void receive(RolloutMessage.Chunk chunk, Duration now) {
        download.accept(chunk, now).ifPresent(version -> downloaded(chunk.hash(), version, now));
        tick(now);
    }

    private void downloaded(String hash, byte[] version, Duration now) {
        if (!VersionFiles.hashOf(version).equals(hash)) {
            download.discardCorrupt(now);
            return;
        }
        files.store(hash, version, active.hash(), () -> {});
        follow();
    }

    /** Acceptors and servers of the first stages may have the bytes; those of our zone go first. */
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
                boolean isNear = each.member().zone().equals(ownZone);
                (isNear ? sameZone : otherZones).add(server);
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

    /** Returns what this server reports to the acceptors. */
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
