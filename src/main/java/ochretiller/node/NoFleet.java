package ochretiller.node;

/** Fleet membership of a server without a fleet: does nothing. Stateless. */
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
