package ochretiller.fleet.service;

import java.util.Optional;
import ochretiller.fleet.replication.ChunkAssembler;
import ochretiller.fleet.replication.ClaimCoordinator;
import ochretiller.fleet.replication.ReplicationMessage;

/**
 * Sends chunks of results to the servers that request them. The results are those of this server's
 * own runs and those that its replica stores. Confined to the event loop.
 */
final class ResultChunkSender {
    private final FleetLink link;
    private final ClaimCoordinator coordinator;
    private final ResultCache results;

    ResultChunkSender(FleetLink link, ClaimCoordinator coordinator, ResultCache results) {
        this.link = link;
        this.coordinator = coordinator;
        this.results = results;
    }

    /** Sends the requested chunk; ignores the request if the result is not stored here. */
    void receive(String sender, ReplicationMessage.ChunkRequest request) {
        Optional<String> ownResult = coordinator.pendingChunkedResult(request.claimId());
        if (ownResult.isPresent()) {
            send(sender, request, ownResult);
        } else {
            results.get(
                    request.token(), request.claimId(), result -> send(sender, request, result));
        }
    }

    private void send(
            String receiver, ReplicationMessage.ChunkRequest request, Optional<String> result) {
        if (link.isClosed()) {
            return;
        }
        result.flatMap(whole -> ChunkAssembler.slice(request, whole))
                .ifPresent(chunk -> link.send(receiver, chunk));
    }
}
