package ochretiller.fleet.transport;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import ochretiller.settings.MalformedException;

/** An operators' command's side of the door: asks one server, within a bounded time. */
public final class AdminClient implements AutoCloseable {
    private static final int TIMEOUT_MILLIS = 5_000;

    private final Socket socket = new Socket();
    private final FleetKeys keys;
    private final String fleet;
    private final String challenge;
    private final String serverName;

    public AdminClient(InetSocketAddress address, String fleet, FleetKeys keys) throws IOException {
        this.keys = keys;
        this.fleet = fleet;
        try {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.setTcpNoDelay(true);
            socket.connect(address, TIMEOUT_MILLIS);
            socket.getOutputStream().write('?');
            SealedFrame.AdminMessage hello = read();
            challenge = hello.challenge();
            serverName = hello.text();
        } catch (IOException | RuntimeException e) {
            socket.close();
            throw e;
        }
    }

    /** The name of the server that was reached. */
    public String serverName() {
        return serverName;
    }

    /** What the server answers to a word. */
    public String request(String word) throws IOException {
        return request(word, "");
    }

    /** What the server answers to a word and what goes with it. */
    public String request(String word, String with) throws IOException {
        socket.getOutputStream()
                .write(
                        SealedFrame.seal(
                                keys, new SealedFrame.AdminMessage(fleet, challenge, word, with)));
        SealedFrame.AdminMessage said = read();
        if (!said.challenge().equals(challenge) || !said.word().equals(word)) {
            throw new IOException("the server answered something else");
        }
        return said.text();
    }

    private SealedFrame.AdminMessage read() throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        byte[] head = new byte[4];
        in.readFully(head);
        int length = SealedFrame.length(head, head.length);
        if (length < head.length || length > SealedFrame.MAX_RESPONSE_BYTES) {
            throw new IOException("the server's answer has no good length");
        }
        byte[] frame = new byte[length];
        System.arraycopy(head, 0, frame, 0, head.length);
        in.readFully(frame, head.length, length - head.length);
        try {
            SealedFrame.AdminMessage said = SealedFrame.open(keys, frame);
            if (!said.fleet().equals(fleet)) {
                throw new MalformedException("the server is of fleet " + said.fleet());
            }
            return said;
        } catch (RejectedPacketException e) {
            throw new MalformedException("the server's answer is not sealed with this key");
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
