package ochretiller.fleet.service;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import ochretiller.fleet.membership.PeerAddress;
import ochretiller.fleet.transport.CborReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that truncated and altered files are detected. */
class ChecksummedFileTest {
    @TempDir private Path folder;

    @Test
    void eachTruncationAndEachAlteredByteIsDetected() throws IOException {
        Path path = folder.resolve("small");
        ChecksummedFile file = new ChecksummedFile(path);
        assertThat(file.<String>read(CborReader::readText)).as("no file").isEmpty();
        file.write(out -> out.writeString("what was kept"));
        assertThat(file.read(CborReader::readText)).contains("what was kept");
        byte[] bytes = Files.readAllBytes(path);
        for (int i = 0; i < bytes.length; i++) {
            Files.write(path, Arrays.copyOf(bytes, i));
            assertThatThrownBy(() -> file.read(CborReader::readText))
                    .as("truncated to " + i + " bytes")
                    .isInstanceOf(CorruptFileException.class);
            byte[] altered = bytes.clone();
            altered[i] ^= 0x10;
            Files.write(path, altered);
            assertThatThrownBy(() -> file.read(CborReader::readText))
                    .as("altered at byte " + i)
                    .isInstanceOf(CorruptFileException.class);
        }
    }

    @Test
    void knownPeersAreReadBackAndACorruptFileIsIgnored() throws Exception {
        Path path = folder.resolve("peers");
        PeersFile file = new PeersFile(path);
        assertThat(file.read()).isEmpty();
        List<PeerAddress> known =
                List.of(new PeerAddress("10.0.0.2", 4200), new PeerAddress("10.0.0.3", 4200));
        file.write(known);
        for (int i = 0; i < 500 && !Files.exists(path); i++) {
            Thread.sleep(10);
        }
        assertThat(file.read()).isEqualTo(known);
        Files.writeString(path, "not what was written");
        assertThat(file.read()).isEmpty();
        file.close();
    }
}
