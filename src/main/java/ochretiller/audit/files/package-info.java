/**
 * A server's audit on disk: files of chained records, one after the other, that nobody changes.
 *
 * <p><b>Job.</b> {@link ochretiller.audit.files.AuditLogWriter} appends records without ever making
 * a caller wait; {@link ochretiller.audit.files.AuditLogReader} reads and checks the files of any
 * server.
 *
 * <p><b>State.</b> One directory of files, bounded in bytes; the queue in front of the writer; the
 * end of the hash chain.
 *
 * <p><b>Threads.</b> A writer thread, named {@code audit}, owns the newest file. Adding and the
 * getters are safe for any thread; a reader belongs to who calls it.
 *
 * <p><b>Neighbours.</b> {@code audit} has the records and the chain; {@code node} writes; the
 * command {@code audit} reads.
 *
 * <p><b>Format.</b> {@code docs/audit-format.md}.
 */
package ochretiller.audit.files;
