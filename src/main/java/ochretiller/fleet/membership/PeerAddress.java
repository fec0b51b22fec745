package ochretiller.fleet.membership;

/** Where a server is asked, as numbers: a decision never looks up a name. */
public record PeerAddress(String host, int port) {
    /** Longest address in characters. */
    public static final int MAX_LENGTH = 45;

    /** As {@code 10.0.0.4:4100}; an {@link IllegalArgumentException} for what is none. */
    public static PeerAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || colon > MAX_LENGTH) {
            throw new IllegalArgumentException("no address: '" + text + "'");
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 1 || port > 0xffff) {
            throw new IllegalArgumentException("no port: '" + text + "'");
        }
        return new PeerAddress(text.substring(0, colon), port);
    }

    @Override
    public String toString() {
        return host + ':' + port;
    }
}
