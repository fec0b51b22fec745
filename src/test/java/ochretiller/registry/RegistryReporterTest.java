package ochretiller.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import ochretiller.ManualEventLoop;
import org.junit.jupiter.api.Test;

class RegistryReporterTest {
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(250);
    private final ManualEventLoop loop = new ManualEventLoop();

    private static String receive(DatagramSocket registry) throws Exception {
        DatagramPacket packet = new DatagramPacket(new byte[100], 100);
        registry.receive(packet);
        return new String(packet.getData(), 0, packet.getLength());
    }

    @Test
    void reportsContinueAfterARegistryIsDownAndAfterSendErrors() throws Exception {
        InetAddress host = InetAddress.getLoopbackAddress();
        DatagramSocket registry = new DatagramSocket(0, host);
        registry.setSoTimeout(10_000);
        InetSocketAddress address = new InetSocketAddress(host, registry.getLocalPort());
        RegistryReporter reporter = new RegistryReporter(loop, address, "n1");
        reporter.start();
        assertThat(receive(registry)).isEqualTo("HERE n1 on");
        registry.close();
        // No socket listens: each report is answered by an ICMP error.
        loop.advance(REPORT_INTERVAL.multipliedBy(4));
        reporter.changeAddress(new InetSocketAddress(host, 0));
        loop.advance(REPORT_INTERVAL.multipliedBy(2)); // sending to port 0 fails
        DatagramSocket newRegistry = new DatagramSocket(0, host);
        newRegistry.setSoTimeout(10_000);
        reporter.changeAddress(new InetSocketAddress(host, newRegistry.getLocalPort()));
        assertThat(receive(newRegistry)).isEqualTo("HERE n1 on");
        loop.advance(REPORT_INTERVAL);
        assertThat(receive(newRegistry)).isEqualTo("HERE n1 on");
        reporter.reportLeaving();
        assertThat(receive(newRegistry)).isEqualTo("HERE n1 off");
        newRegistry.close();
    }
}
