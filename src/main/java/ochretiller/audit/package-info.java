/**
 * What a server acted on and when, recorded so that a gap, an edit or a lost tail is noticed.
 *
 * <p><b>Job.</b> The records ({@link ochretiller.audit.AuditRecord}), the hash chain that ties them
 * together ({@link ochretiller.audit.HashChain}) and its check ({@link
 * ochretiller.audit.ChainVerifier}), the counts of one period ({@link
 * ochretiller.audit.VersionUsage}), and what can be answered from the records of several servers
 * ({@link ochretiller.audit.FleetTimeline}).
 *
 * <p><b>State.</b> The counts of the period under way and the end of the chain; everything else is
 * immutable.
 *
 * <p><b>Threads.</b> Nothing here is safe for several threads. Pure: no files, clocks or packets;
 * time is handed in.
 *
 * <p><b>Neighbours.</b> {@code node} reports what happens; {@code audit.files} keeps the records on
 * disk; the command {@code audit} asks the questions. Peers witness one another's chain heads
 * through {@code fleet.service}.
 *
 * <p><b>Format.</b> {@code docs/audit-format.md}.
 */
package ochretiller.audit;
