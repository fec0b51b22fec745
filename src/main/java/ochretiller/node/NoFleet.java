package ochretiller.node;

/** A server that is a member of no fleet. Stateless. */
final class NoFleet implements FleetMembership {
    @Override
    public void start() {
        // there is no fleet
    }

    @Override
    public void reload() {
        // there is no fleet
    }

    @Override
    public void leave() {
        // there is no fleet
    }

    @Override
    public void close() {
        // there is no fleet
    }
}
