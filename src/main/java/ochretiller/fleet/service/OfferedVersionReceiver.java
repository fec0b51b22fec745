package ochretiller.fleet.service;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import ochretiller.fleet.consensus.PublishedVersion;
import ochretiller.fleet.rollout.OutboundChunkRequest;
import ochretiller.fleet.rollout.RolloutMessage;
import ochretiller.fleet.rollout.VersionDownload;

/**
 * Downloads a version that another acceptor offers to this acceptor, and confirms it once it is
 * durable. Confined to the event loop.
 */
final class OfferedVersionReceiver {
    private final FleetContext context;
    private final List<String> acceptors;
    private final VersionFiles files;
    private final VersionFollower follower;
    private final VersionDownload download;
    private Optional<String> offeringServer = Optional.empty();

    OfferedVersionReceiver(
            FleetContext context,
            List<String> acceptors,
            VersionFiles files,
            VersionFollower follower) {
        this.context = context;
        this.acceptors = acceptors;
        this.files = files;
        this.follower = follower;
        this.download = new VersionDownload(context.random());
    }

    /** Handles an offer: confirms a version that is stored here, or starts to download it. */
    void receiveOffer(String server, RolloutMessage.VersionOffer offer, Duration now) {
        if (!acceptors.contains(context.serverName()) || !acceptors.contains(server)) {
            return;
        }
        if (files.find(offer.hash()).isPresent()) {
            context.sender().send(server, new RolloutMessage.VersionStored(offer.hash()));
            return;
        }
        offeringServer = Optional.of(server);
        download.start(new PublishedVersion(1, offer.hash(), offer.size(), "", "", ""), now);
        tick(now);
    }

    /** Requests missing chunks from the server that made the latest offer. */
    void tick(Duration now) {
        offeringServer.ifPresent(server -> requestChunks(server, now));
    }

    private void requestChunks(String server, Duration now) {
        for (OutboundChunkRequest each : download.tick(List.of(server), now)) {
            context.sender().send(each.recipient(), each.request());
        }
    }

    /** Handles a chunk and requests the next ones. */
    void receive(RolloutMessage.Chunk chunk, Duration now) {
        download.accept(chunk, now).ifPresent(version -> onDownloaded(chunk.hash(), version, now));
        tick(now);
    }

    private void onDownloaded(String hash, byte[] version, Duration now) {
        if (!VersionFiles.hashOf(version).equals(hash)) {
            download.discardCorrupt(now);
            return;
        }
        String server = offeringServer.orElseThrow();
        files.store(
                hash,
                version,
                follower.active().hash(),
                () -> context.sender().send(server, new RolloutMessage.VersionStored(hash)));
    }
}
