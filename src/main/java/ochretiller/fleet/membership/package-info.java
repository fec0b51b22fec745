/**
 * Group membership and failure detection: which servers of the fleet are alive, as one server sees
 * it.
 *
 * <p><b>Job.</b> {@link ochretiller.fleet.membership.MembershipProtocol} keeps an eventually
 * consistent view of the fleet without any registry. It follows SWIM (Das, Gupta, Motivala: "SWIM:
 * Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002) with
 * Lifeguard's local health awareness (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness
 * for More Accurate Failure Detection", 2017). A view is an opinion: nothing that may happen only
 * once may rest on it; such decisions belong to {@code fleet.consensus}.
 *
 * <p><b>Departures from the papers.</b>
 *
 * <ul>
 *   <li>A member is identified by its name and an <em>incarnation</em>, a random number drawn when
 *       its process starts. What SWIM calls the incarnation number, the counter that only the
 *       member itself raises to refute a suspicion, is {@link
 *       ochretiller.fleet.membership.Member#stateVersion} here.
 *   <li>Being able to send does not prove being able to receive. A newcomer, and an unresponsive
 *       member that is heard again, counts as alive only once it has answered a ping, which keeps
 *       members from flapping under one-way cuts (the concern of Rapid: Suresh et al., 2018).
 *   <li>Another member's verdict makes a member suspect here for the shortest suspicion timeout and
 *       is not adopted at once; otherwise two halves of a healed fleet would condemn each other.
 *   <li>A server that hears nothing at all keeps its suspicions to itself.
 *   <li>Unresponsive members are still probed, seldom, so that the halves of a partition find each
 *       other again; views are compared by digests (anti-entropy) in place of SWIM's full state.
 *   <li>Timeouts run on {@link ochretiller.fleet.membership.AwakeClock}, which leaves out the time
 *       in which the process was paused.
 * </ul>
 *
 * <p><b>State and threads.</b> Everything is held in memory and owned by one thread. The code is
 * pure: messages, the time and random numbers are handed in; messages to send and changes of the
 * view are taken out. There is no I/O, clock, lock or thread in this package.
 *
 * <p><b>Neighbours.</b> {@code fleet.service} drives it on sockets and the emulator in virtual
 * time; {@code fleet.transport} encodes its messages. It uses {@code ochretiller.time} only.
 */
package ochretiller.fleet.membership;
