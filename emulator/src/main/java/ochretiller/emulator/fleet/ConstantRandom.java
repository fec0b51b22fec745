package ochretiller.emulator.fleet;

import java.util.random.RandomGenerator;

/** Always the same: where all orders of events are explored, chance is no choice. */
final class ConstantRandom implements RandomGenerator {
    @Override
    public long nextLong() {
        return 0;
    }

    @Override
    public double nextDouble() {
        return 0.5;
    }

    @Override
    public int nextInt(int bound) {
        return 0;
    }
}
