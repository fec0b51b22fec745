package ochretiller.fleet.members;

/** A packet that is to go out. */
public record Send(Address to, Packet packet) {}
