package ochretiller.fleet.replication;

import java.util.List;

/**
 * The result of submitting a change to the {@link DurabilityBarrier}.
 *
 * @param writes writes to perform now, in this order
 * @param sendableMessages messages that may be sent at once, since no write that they depend on is
 *     outstanding
 */
public record SubmittedChange(List<PendingWrite> writes, List<OutboundMessage> sendableMessages) {
    static final SubmittedChange EMPTY = new SubmittedChange(List.of(), List.of());
}
