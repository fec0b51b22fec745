package ochretiller.fleet.membership;

/**
 * Where a server is reached.
 *
 * @param host an IP address as text: decisions never look up a name
 * @param port from 1 to 65,535; a value read from the wire may be 0 for "nowhere"
 */
public record PeerAddress(String host, int port) {
    /** Longest host in characters: an IPv6 address with an embedded IPv4 one. */
    public static final int MAX_LENGTH = 45;

    private static final int MAX_PORT = 0xffff;

    /**
     * Reads an address such as {@code 10.0.0.4:4100}.
     *
     * @throws IllegalArgumentException if the text is none
     */
    public static PeerAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || colon > MAX_LENGTH) {
            throw new IllegalArgumentException("no address: '" + text + "'");
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("no port: '" + text + "'");
        }
        return new PeerAddress(text.substring(0, colon), port);
    }

    /** Host and port with a colon between, as {@link #parse} reads it and the peers file has it. */
    @Override
    public String toString() {
        return host + ':' + port;
    }
}
