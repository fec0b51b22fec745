/**
 * A durable key-value store on an append-only log, in the manner of Bitcask (Sheehy and Smith
 * 2010). It knows nothing of invocations.
 *
 * <p><b>Job.</b> Keep small records with an end of life over crashes of the process and of the
 * machine: group commit, an index in memory, recovery that tells torn writes from damage, deletion
 * of expired segments, compaction.
 *
 * <p><b>State.</b> One directory of segment files; in memory the index (keys, metadata, positions)
 * and figures of each segment. Values are on disk only.
 *
 * <p><b>Threads.</b> {@link ochretiller.store.Store} is the only way in. Its caller is any one
 * thread at a time; {@link ochretiller.store.AppendQueue} hands work to the writer thread, whose
 * loop is {@link ochretiller.store.GroupCommitWriter}. That thread owns {@link
 * ochretiller.store.StorageEngine} and everything in it: {@link ochretiller.store.SegmentedLog}
 * (the append path), {@link ochretiller.store.Index}, and {@link ochretiller.store.SegmentCleaner}
 * (expiry, compaction). Before the start and in {@link ochretiller.store.StoreInspector} the
 * calling thread owns them instead.
 *
 * <p><b>Neighbours.</b> {@code idempotency.durable} says what the records mean and how long anybody
 * waits for them; {@code node} and {@code fleet.service} carry that out. The directory is reached
 * through {@link ochretiller.store.StorageDirectory}.
 *
 * <p><b>Format.</b> {@code docs/store-format.md}. The code follows the page, and golden files pin
 * the bytes.
 */
package ochretiller.store;
