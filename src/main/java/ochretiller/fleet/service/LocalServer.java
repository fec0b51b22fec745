package ochretiller.fleet.service;

import ochretiller.fleet.membership.PeerAddress;

/**
 * Description of this server that it shares with its fleet.
 *
 * @param name name of the server, unique in the fleet
 * @param build build number of the program
 * @param serviceAddress address for clients, unless the operators' configuration overrides it
 */
public record LocalServer(String name, String build, PeerAddress serviceAddress) {}
