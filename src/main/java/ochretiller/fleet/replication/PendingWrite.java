package ochretiller.fleet.replication;

import java.util.Optional;

/**
 * One write that the storage is asked for: the present entry of a token, or the replica's metadata.
 *
 * @param generation grows with each storage failure, so that late acknowledgements of earlier
 *     writes are recognised
 * @param sequence position in the order of all writes
 * @param token the token whose entry is written, or empty for the replica's metadata
 */
public record PendingWrite(long generation, long sequence, Optional<String> token) {}
