/**
 * Staged rollout of configuration versions to a fleet, with canary analysis and leases.
 *
 * <p><b>Purpose.</b> {@link ochretiller.fleet.rollout.RolloutStages} selects the servers that run a
 * version at each stage. An acceptor's {@link ochretiller.fleet.rollout.RolloutController} proposes
 * the next stage, or a rollback if {@link ochretiller.fleet.rollout.CanaryComparison} finds a
 * regression. Its {@link ochretiller.fleet.rollout.LeaseGrantor} fences stragglers by not renewing
 * their leases. Every server has a {@link ochretiller.fleet.rollout.Lease} and downloads the bytes
 * of versions with a {@link ochretiller.fleet.rollout.VersionDownload}.
 *
 * <p><b>State.</b> The state of the rollout is part of the committed epoch ({@link
 * ochretiller.fleet.consensus.RolloutState}). Servers' reports, leases and the chunks of one
 * version are in memory only.
 *
 * <p><b>Thread.</b> Classes use no I/O, clock or threads; time, random numbers and bytes are passed
 * in. Each object is confined to the thread that calls it.
 *
 * <p><b>Dependencies.</b> {@code fleet.consensus} commits rollouts, and {@code fleet.service}
 * executes the decisions, as does the emulator in virtual time. {@code docs/versions.md} describes
 * the design.
 */
package ochretiller.fleet.rollout;
