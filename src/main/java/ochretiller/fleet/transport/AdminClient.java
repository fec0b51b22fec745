package ochretiller.fleet.transport;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import ochretiller.settings.MalformedException;

/**
 * The side of an operators' command: sends requests to one server and waits for each answer, at
 * most {@value #TIMEOUT_MILLIS} ms. For one thread.
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
     * @throws MalformedException if the server is of another fleet or has other keys
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

    /** Returns the name of the server that was reached. */
    public String serverName() {
        return serverName;
    }

    /** Returns the answer to a command without arguments. */
    public String request(String command) throws IOException {
        return request(command, "");
    }

    /**
     * Returns the answer to a command.
     *
     * @throws IOException if the connection fails, the answer is late or it belongs to another
     *     request
     */
    public String request(String command, String arguments) throws IOException {
        AdminMessage request = new AdminMessage(fleetName, challenge, command, arguments);
        socket.getOutputStream().write(SealedFrame.seal(keys, request));
        AdminMessage answer = read();
        if (!answer.challenge().equals(challenge) || !answer.command().equals(command)) {
            throw new IOException("the server answered something else");
        }
        return answer.text();
    }

    private AdminMessage read() throws IOException {
        byte[] frame = readFrame();
        try {
            AdminMessage message = SealedFrame.open(keys, frame);
            if (!message.fleet().equals(fleetName)) {
                throw new MalformedException("the server is of fleet " + message.fleet());
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
        int length = SealedFrame.length(prefix, prefix.length);
        if (length < prefix.length || length > SealedFrame.MAX_RESPONSE_BYTES) {
            throw new IOException("the server's answer has no good length");
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
