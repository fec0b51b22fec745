package ochretiller.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;
import java.util.function.LongSupplier;

/**
 * A clock that nobody can set, as far as the machine has one.
 *
 * @param bootId names the run of the machine, so that a restarted process knows whether the clock
 *     went on; null where that cannot be told
 * @param uptimeMillis milliseconds since a moment that is the same for all processes under this id
 */
public record BootClock(UUID bootId, LongSupplier uptimeMillis) {
    /**
     * The kernel's own time since boot; where it is not told, time since the start of this process.
     */
    public static BootClock ofKernel() {
        try {
            UUID id =
                    UUID.fromString(
                            Files.readString(Path.of("/proc/sys/kernel/random/boot_id")).trim());
            long atStart = uptime();
            long start = System.nanoTime();
            return new BootClock(id, () -> atStart + (System.nanoTime() - start) / 1_000_000);
        } catch (IOException | IllegalArgumentException e) {
            long start = System.nanoTime();
            return new BootClock(null, () -> (System.nanoTime() - start) / 1_000_000);
        }
    }

    private static long uptime() throws IOException {
        String text = Files.readString(Path.of("/proc/uptime"));
        return (long) (Double.parseDouble(text.substring(0, text.indexOf(' '))) * 1000);
    }
}
