/**
 * Consensus on numbered epochs: which servers hold replicas of which token ranges, and which
 * published version the servers use.
 *
 * <p><b>Purpose.</b> {@link ochretiller.fleet.consensus.EpochConsensus} runs one acceptor of a
 * sequence of single-decree Paxos instances (Lamport, "Paxos Made Simple", 2001), one per epoch. A
 * value is committed when a majority of the configured acceptors has accepted it under one ballot;
 * only then does the next epoch begin. The value is a {@link
 * ochretiller.fleet.consensus.ReplicaPlacement}, which assigns ranges to servers by rendezvous
 * hashing and contains a {@link ochretiller.fleet.consensus.RolloutState}. {@link
 * ochretiller.fleet.consensus.PlacementPlanner} derives the placement to propose from the local
 * membership view; views may disagree, but the committed placement is the same everywhere.
 *
 * <p><b>Departures from the papers.</b>
 *
 * <ul>
 *   <li>As in CASPaxos (Rystsov, "CASPaxos: Replicated State Machines without logs", 2018) there is
 *       no log and no leader: each epoch's value is derived from the previous one. Unlike CASPaxos,
 *       each epoch is a separate instance, and an acceptor discards an instance when its value is
 *       committed.
 *   <li>An acceptor that has lost its disk must not vote on an epoch for which it may have made a
 *       promise. It asks a majority for the highest epoch and abstains through that epoch forever
 *       (the recovery concern of viewstamped replication: Liskov, Cowling, 2012). If all acceptors
 *       have lost their disks, they continue from the latest epoch that any server knows.
 * </ul>
 *
 * <p><b>State and threads.</b> All state is owned by one thread. The code is pure: the caller
 * passes in messages, the time and random numbers, and takes out messages to send. Before sending
 * them, it must write {@link ochretiller.fleet.consensus.EpochConsensus#durableState} to disk.
 *
 * <p><b>Dependencies.</b> {@code fleet.service} runs the protocol over sockets and files, the
 * emulator in virtual time; {@code fleet.replication} and {@code fleet.rollout} act on committed
 * epochs; {@code fleet.transport} encodes the messages.
 */
package ochretiller.fleet.consensus;
