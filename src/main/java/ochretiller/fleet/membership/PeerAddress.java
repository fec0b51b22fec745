package ochretiller.fleet.membership;

/**
 * A network address of a server.
 *
 * @param host an IP address as text, so that no name has to be resolved
 * @param port from 1 to 65,535; 0 in a message means that there is no address
 */
public record PeerAddress(String host, int port) {
    /** Maximum length of a host in characters: an IPv6 address with an embedded IPv4 address. */
    public static final int MAX_HOST_LENGTH = 45;

    private static final int MAX_PORT = 0xffff;

    /**
     * Parses an address such as {@code 10.0.0.4:4100}.
     *
     * @throws IllegalArgumentException if the text is not an address with a port
     */
    public static PeerAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || colon > MAX_HOST_LENGTH) {
            throw new IllegalArgumentException("expected host:port, got '" + text + "'");
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("port must be from 1 to 65535: '" + text + "'");
        }
        return new PeerAddress(text.substring(0, colon), port);
    }

    /** Host and port separated by a colon, as in the peers file and as {@link #parse} reads it. */
    @Override
    public String toString() {
        return host + ':' + port;
    }
}
