/**
 * Group membership and failure detection: one server's view of which servers of the fleet are
 * alive.
 *
 * <p><b>Purpose.</b> {@link ochretiller.fleet.membership.MembershipProtocol} maintains an
 * eventually consistent view of the fleet without a registry. It follows SWIM (Das, Gupta,
 * Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol",
 * 2002) with Lifeguard's local health awareness (Dadgar, Phillips, Currey: "Lifeguard: Local Health
 * Awareness for More Accurate Failure Detection", 2017). Views of different servers may disagree,
 * so nothing that must happen at most once may depend on a view; such decisions belong to {@code
 * fleet.consensus}.
 *
 * <p><b>Departures from the papers.</b>
 *
 * <ul>
 *   <li>A member is identified by its name and an <em>incarnation</em>, a random number drawn when
 *       its process starts. SWIM's incarnation number, the counter that only the member itself
 *       raises to refute a suspicion, is called {@link
 *       ochretiller.fleet.membership.Member#stateVersion} here.
 *   <li>A packet from a member proves that it can send, not that it can receive. A new member, or
 *       an unresponsive member that sends again, counts as alive only after it has answered a ping.
 *       This keeps members from flapping when packets are lost in one direction (the concern of
 *       Rapid: Suresh et al., 2018).
 *   <li>An "unresponsive" update from another member is not adopted at once: it makes the member
 *       suspect for the shortest suspicion timeout. Otherwise the two halves of a healed partition
 *       would declare each other unresponsive.
 *   <li>A server that receives no packets at all does not publish its suspicions.
 *   <li>Unresponsive members are still probed at a low rate, so that the halves of a partition
 *       rediscover each other. Views are compared by digests (anti-entropy) instead of SWIM's full
 *       state exchange.
 *   <li>Timeouts use {@link ochretiller.fleet.membership.PauseExcludingClock}, which excludes the
 *       time in which the process was paused.
 * </ul>
 *
 * <p><b>State and threads.</b> All state is in memory and owned by one thread. The code is pure:
 * the caller passes in received messages, the time and a random generator, and takes out messages
 * to send and changes of the view. This package has no I/O, clock, lock or thread.
 *
 * <p><b>Dependencies.</b> {@code fleet.service} runs the protocol over sockets, the emulator in
 * virtual time; {@code fleet.transport} encodes its messages. The package depends on {@code
 * ochretiller.time} only.
 */
package ochretiller.fleet.membership;
