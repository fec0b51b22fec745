/**
 * A durable key-value store on an append-only log, modelled on Bitcask (Sheehy and Smith 2010). It
 * does not depend on invocations.
 *
 * <p><b>Purpose.</b> Preserves small records until they expire, across crashes of the process and
 * of the machine: group commit, an in-memory index, recovery that distinguishes torn writes from
 * damage, deletion of expired segments, compaction.
 *
 * <p><b>State.</b> One directory of segment files; in memory the index (keys, metadata, positions)
 * and statistics of each segment. Values are on disk only.
 *
 * <p><b>Threads.</b> {@link ochretiller.store.Store} is the only entry point, for one calling
 * thread at a time; {@link ochretiller.store.AppendQueue} passes work to the writer thread, whose
 * loop is {@link ochretiller.store.GroupCommitWriter}. That thread owns {@link
 * ochretiller.store.StorageEngine} and everything in it: {@link ochretiller.store.SegmentedLog}
 * (the append path), {@link ochretiller.store.Index}, and {@link ochretiller.store.SegmentCleaner}
 * (expiry, compaction). Before {@link ochretiller.store.Store#start} and in {@link
 * ochretiller.store.StoreInspector} the calling thread owns them instead.
 *
 * <p><b>Dependencies.</b> {@code idempotency.durable} defines what the records mean and how long
 * callers wait for them; {@code node} and {@code fleet.service} apply it. Files are accessed
 * through {@link ochretiller.store.StorageDirectory}.
 *
 * <p><b>Format.</b> {@code docs/store-format.md}. The code follows that page; tests compare its
 * bytes with golden files.
 */
package ochretiller.store;
