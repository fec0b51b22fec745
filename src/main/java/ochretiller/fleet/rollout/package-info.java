/**
 * Rollout of configuration versions to a fleet, by stages, with canary analysis and leases.
 *
 * <p><b>Job.</b> {@link ochretiller.fleet.rollout.RolloutStages} says which servers run a version
 * at which stage. An acceptor's {@link ochretiller.fleet.rollout.RolloutController} proposes the
 * next stage, or a rollback where {@link ochretiller.fleet.rollout.CanaryComparison} finds a
 * regression, and its {@link ochretiller.fleet.rollout.LeaseGrantor} fences stragglers by not
 * renewing their leases. Every server holds a {@link ochretiller.fleet.rollout.Lease} and fetches
 * the bytes of versions with a {@link ochretiller.fleet.rollout.VersionDownload}.
 *
 * <p><b>State.</b> The rollout itself is part of the committed epoch ({@link
 * ochretiller.fleet.consensus.RolloutState}); reports of servers, leases and chunks of one version
 * are held in memory.
 *
 * <p><b>Thread.</b> Pure decisions: no I/O, clock or thread. Time, random numbers and bytes are
 * handed in. Each object belongs to the one thread that drives it.
 *
 * <p><b>Neighbours.</b> {@code fleet.consensus} agrees on rollouts; {@code fleet.service} carries
 * decisions out; the emulator does the same in virtual time. {@code docs/versions.md} has the
 * design.
 */
package ochretiller.fleet.rollout;
