package ochretiller.fleet.replication;

import java.util.List;

/**
 * What follows from a change that was submitted to the {@link DurabilityBarrier}.
 *
 * @param writes what to write now, in this order
 * @param sendable messages that may be sent at once, since nothing that they rest on is being
 *     written
 */
public record SubmittedChange(List<PendingWrite> writes, List<OutboundMessage> sendable) {
    static final SubmittedChange NOTHING = new SubmittedChange(List.of(), List.of());
}
