package ochretiller.emulator.fleet;

import java.util.random.RandomGenerator;

/** Returns constants, since state exploration requires models without random decisions. */
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
