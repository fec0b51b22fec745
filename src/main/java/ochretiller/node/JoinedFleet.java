package ochretiller.node;

import ochretiller.fleet.service.FleetService;

/** Fleet membership that delegates to a {@link FleetService}. */
final class JoinedFleet implements FleetMembership {
    private final FleetService service;

    JoinedFleet(FleetService service) {
        this.service = service;
    }

    @Override
    public void start() {
        service.start();
    }

    @Override
    public void reload() {
        service.reload();
    }

    @Override
    public void leave() {
        service.leave();
    }

    @Override
    public void close() {
        service.close();
    }
}
