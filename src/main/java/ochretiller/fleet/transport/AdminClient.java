package ochretiller.fleet.transport;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import ochretiller.settings.MalformedException;

/**
 * Client of a server's {@link AdminEndpoint} for operators' commands. Each request waits at most
 * {@value #TIMEOUT_MILLIS} ms for its answer. Not thread-safe.
 */
public final class AdminClient implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 5_000;

    private final Socket socket = new Socket();
    private final FleetKeys keys;
    private final String fleetName;
    private final String challenge;
    private final String serverName;

    /**
     * Connects and waits for the server's challenge.
     *
     * @throws IOException if the server cannot be reached or does not answer in time
     * @throws MalformedException if the server belongs to another fleet or uses other keys
     */
    public AdminClient(InetSocketAddress address, String fleetName, FleetKeys keys)
            throws IOException {
        this.keys = keys;
        this.fleetName = fleetName;
        try {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
            socket.connect(address, TIMEOUT_MILLIS);
            socket.getOutputStream().write(AdminEndpoint.GREETING);
            AdminMessage hello = read();
            challenge = hello.challenge();
            serverName = hello.text();
        } catch (IOException | RuntimeException e) {
            socket.close();
            throw e;
        }
    }

    /** Returns the name that the server sent when the connection was opened. */
    public String serverName() {
        return serverName;
    }

    /** Sends a command without arguments and returns the answer, as JSON. */
    public String request(String command) throws IOException {
        return request(command, "");
    }

    /**
     * Sends a command and returns the answer, as JSON.
     *
     * @throws IOException if the connection fails, the answer takes longer than the timeout or it
     *     belongs to another request
     */
    public String request(String command, String arguments) throws IOException {
        AdminMessage request = new AdminMessage(fleetName, challenge, command, arguments);
        socket.getOutputStream().write(SealedFrame.seal(keys, request));
        AdminMessage answer = read();
        if (!answer.challenge().equals(challenge) || !answer.command().equals(command)) {
            throw new IOException(
                    "the server's answer to " + command + " belongs to another request");
        }
        return answer.text();
    }

    private AdminMessage read() throws IOException {
        byte[] frame = readFrame();
        try {
            AdminMessage message = SealedFrame.open(keys, frame);
            if (!message.fleet().equals(fleetName)) {
                throw new MalformedException(
                        "the server belongs to fleet " + message.fleet() + ", not " + fleetName);
            }
            return message;
        } catch (RejectedPacketException e) {
            throw new MalformedException("the server's answer is not sealed with this key");
        }
    }

    private byte[] readFrame() throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        byte[] prefix = new byte[SealedFrame.LENGTH_PREFIX_BYTES];
        in.readFully(prefix);
        int length = SealedFrame.frameLength(prefix, prefix.length);
        if (length < prefix.length || length > SealedFrame.MAX_RESPONSE_BYTES) {
            throw new IOException(
                    "the server's answer has an invalid length: " + length + " bytes");
        }
        byte[] frame = new byte[length];
        System.arraycopy(prefix, 0, frame, 0, prefix.length);
        in.readFully(frame, prefix.length, length - prefix.length);
        return frame;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
