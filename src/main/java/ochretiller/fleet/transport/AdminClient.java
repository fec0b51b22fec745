package ochretiller.fleet.transport;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import ochretiller.settings.MalformedException;

/** An operators' command's side of the door: asks one server, within a bounded time. */
public final class AdminClient implements AutoCloseable {
    private static final int WITHIN_MS = 5_000;

    private final Socket socket = new Socket();
    private final FleetKeys keys;
    private final String fleet;
    private final String challenge;
    private final String name;

    public AdminClient(InetSocketAddress address, String fleet, FleetKeys keys) throws IOException {
        this.keys = keys;
        this.fleet = fleet;
        try {
            socket.setSoTimeout(WITHIN_MS);
            socket.setTcpNoDelay(true);
            socket.connect(address, WITHIN_MS);
            socket.getOutputStream().write('?');
            SealedFrame.Said hello = read();
            challenge = hello.challenge();
            name = hello.text();
        } catch (IOException | RuntimeException e) {
            socket.close();
            throw e;
        }
    }

    /** The name of the server that was reached. */
    public String name() {
        return name;
    }

    /** What the server answers to a word. */
    public String ask(String word) throws IOException {
        return ask(word, "");
    }

    /** What the server answers to a word and what goes with it. */
    public String ask(String word, String with) throws IOException {
        socket.getOutputStream()
                .write(SealedFrame.frame(keys, new SealedFrame.Said(fleet, challenge, word, with)));
        SealedFrame.Said said = read();
        if (!said.challenge().equals(challenge) || !said.word().equals(word)) {
            throw new IOException("the server answered something else");
        }
        return said.text();
    }

    private SealedFrame.Said read() throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        byte[] head = new byte[4];
        in.readFully(head);
        int length = SealedFrame.length(head, head.length);
        if (length < head.length || length > SealedFrame.LONGEST_ANSWER) {
            throw new IOException("the server's answer has no good length");
        }
        byte[] frame = new byte[length];
        System.arraycopy(head, 0, frame, 0, head.length);
        in.readFully(frame, head.length, length - head.length);
        try {
            SealedFrame.Said said = SealedFrame.open(keys, frame);
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
