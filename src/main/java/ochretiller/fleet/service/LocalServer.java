package ochretiller.fleet.service;

import ochretiller.fleet.membership.PeerAddress;

/**
 * What a server tells its fleet about itself.
 *
 * @param name unique in the fleet
 * @param build of the program
 * @param serviceAddress where it serves clients, unless the operators' configuration says otherwise
 */
public record LocalServer(String name, String build, PeerAddress serviceAddress) {}
