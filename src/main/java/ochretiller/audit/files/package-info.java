/**
 * A server's audit on disk, in append-only files of chained records.
 *
 * <p><b>Purpose.</b> {@link ochretiller.audit.files.AuditLogWriter} appends records without
 * blocking its callers; {@link ochretiller.audit.files.AuditLogReader} reads and verifies the files
 * of any server.
 *
 * <p><b>State.</b> One directory of files of bounded total size, the queue of the writer and the
 * end of the hash chain.
 *
 * <p><b>Threads.</b> A writer thread, named {@code audit}, owns the newest file. Adding records and
 * the getters are thread-safe; a reader is confined to its caller.
 *
 * <p><b>Dependencies.</b> {@code audit} defines the records and the chain; {@code node} writes; the
 * command {@code audit} reads.
 *
 * <p><b>Format.</b> {@code docs/audit-format.md}.
 */
package ochretiller.audit.files;
