/**
 * Agreement on numbered epochs: which servers hold replicas of which ranges of tokens, and which
 * published version the servers act on.
 *
 * <p><b>Job.</b> {@link ochretiller.fleet.consensus.EpochConsensus} is one acceptor's part in a
 * sequence of single-decree Paxos instances (Lamport, "Paxos Made Simple", 2001), one for each
 * epoch: a value is committed once a majority of the named acceptors has accepted it under one
 * ballot, and the next epoch begins only then. The committed value is a {@link
 * ochretiller.fleet.consensus.ReplicaPlacement}, which assigns ranges to servers by rendezvous
 * hashing and carries a {@link ochretiller.fleet.consensus.RolloutState}. {@link
 * ochretiller.fleet.consensus.PlacementPlanner} decides from what is observed which placement to
 * propose next; what it observes is an opinion, what follows from it is agreed on.
 *
 * <p><b>Departures from the papers.</b>
 *
 * <ul>
 *   <li>As in CASPaxos (Rystsov, "CASPaxos: Replicated State Machines without logs", 2018) there is
 *       no log and no leader: each epoch's value is derived from the one before. Unlike CASPaxos
 *       the epochs are instances of their own, and an acceptor forgets an instance once its value
 *       is committed.
 *   <li>An acceptor that has lost its disk does not vote on anything it may have promised: it asks
 *       a majority what is open and abstains from those epochs for good (the recovery concern of
 *       viewstamped replication: Liskov, Cowling, 2012). If all acceptors have lost theirs at one
 *       time they go on from the latest epoch that any server knows of.
 * </ul>
 *
 * <p><b>State and threads.</b> Everything is owned by one thread. The code is pure: messages, the
 * time and random numbers are handed in, messages to send are taken out. The caller has to have
 * {@link ochretiller.fleet.consensus.EpochConsensus#durableState} on disk before it sends them.
 *
 * <p><b>Neighbours.</b> {@code fleet.service} drives it on sockets and files and the emulator in
 * virtual time; {@code fleet.replication} and {@code fleet.rollout} act on what is committed;
 * {@code fleet.transport} encodes its messages.
 */
package ochretiller.fleet.consensus;
