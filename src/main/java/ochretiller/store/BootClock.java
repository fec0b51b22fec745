package ochretiller.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.UUID;
import java.util.function.LongSupplier;

/**
 * A monotonic clock that continues while no process runs, if the machine offers one. Immutable;
 * thread-safe if the supplier is.
 *
 * @param bootId identifies the boot of the machine, so that a restarted process can check whether
 *     the clock continued; empty if the machine does not provide one
 * @param uptimeMillis milliseconds since an instant that all processes under one {@code bootId}
 *     share
 */
public record BootClock(Optional<UUID> bootId, LongSupplier uptimeMillis) {
    private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");
    private static final Path UPTIME_FILE = Path.of("/proc/uptime");
    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * Returns the kernel's uptime and boot id; if they cannot be read, a clock that starts with
     * this call and has no boot id.
     */
    public static BootClock ofKernel() {
        try {
            UUID bootId = UUID.fromString(Files.readString(BOOT_ID_FILE).trim());
            return new BootClock(Optional.of(bootId), countingFrom(kernelUptimeMillis()));
        } catch (IOException | IllegalArgumentException e) {
            return new BootClock(Optional.empty(), countingFrom(0));
        }
    }

    private static LongSupplier countingFrom(long startMillis) {
        long startNanos = System.nanoTime();
        return () -> startMillis + (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    private static long kernelUptimeMillis() throws IOException {
        String text = Files.readString(UPTIME_FILE);
        return (long) (Double.parseDouble(text.substring(0, text.indexOf(' '))) * 1000);
    }
}
