/**
 * Records which version was active on a server and when; missing, edited and truncated records are
 * detected.
 *
 * <p><b>Purpose.</b> The records ({@link ochretiller.audit.AuditRecord}), the hash chain that links
 * them ({@link ochretiller.audit.HashChain}) and its verification ({@link
 * ochretiller.audit.ChainVerifier}), the counts of one period ({@link
 * ochretiller.audit.VersionUsage}), and queries over the records of several servers ({@link
 * ochretiller.audit.FleetTimeline}).
 *
 * <p><b>State.</b> The counts of the current period and the end of the chain; everything else is
 * immutable.
 *
 * <p><b>Threads.</b> The mutable classes are not thread-safe. There is no access to files, clocks
 * or the network; callers pass the time.
 *
 * <p><b>Dependencies.</b> {@code node} reports events; {@code audit.files} stores the records on
 * disk; the command {@code audit} queries them. Peers record each other's chain heads through
 * {@code fleet.service}.
 *
 * <p><b>Format.</b> {@code docs/audit-format.md}.
 */
package ochretiller.audit;
