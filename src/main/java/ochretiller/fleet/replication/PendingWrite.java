package ochretiller.fleet.replication;

import java.util.Optional;

/**
 * A write that the storage has to perform: the current entry of a token, or the replica's metadata.
 *
 * @param generation increases with each storage failure, to detect late acknowledgements of earlier
 *     writes
 * @param sequence position in the order of all writes
 * @param token the token whose entry is written, or empty for the replica's metadata
 */
public record PendingWrite(long generation, long sequence, Optional<String> token) {}
