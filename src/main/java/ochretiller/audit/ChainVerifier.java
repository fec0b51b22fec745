package ochretiller.audit;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

/**
 * Verifies the records of a {@link HashChain} against each other and against heads of the chain
 * that peers have recorded. Stateless and thread-safe.
 */
public final class ChainVerifier {
    private ChainVerifier() {}

    /**
     * Verifies a chain.
     *
     * @param records records found, oldest first; the first may have any number because old records
     *     are deleted
     * @param knownHeads heads of this chain that peers have recorded, in any order
     * @return the faults; empty if the chain is unchanged
     */
    public static List<ChainFault> verify(List<ChainedRecord> records, List<ChainHead> knownHeads) {
        List<ChainFault> faults = new ArrayList<>();
        Optional<ChainedRecord> previous = Optional.empty();
        for (ChainedRecord record : records) {
            if (!record.isIntact()) {
                faults.add(new ChainFault(record.number(), "is not what its hash says"));
            }
            Optional<ChainFault> fault =
                    previous.isPresent()
                            ? checkSuccessor(previous.get(), record)
                            : checkFirst(record);
            fault.ifPresent(faults::add);
            previous = Optional.of(record);
        }
        for (ChainHead head : knownHeads) {
            checkHead(records, head).ifPresent(faults::add);
        }
        return faults;
    }

    private static Optional<ChainFault> checkFirst(ChainedRecord record) {
        boolean isFirstOfChain = record.number() == 1;
        return isFirstOfChain && !HashChain.isInitialPreviousHash(record.previousHash())
                ? Optional.of(new ChainFault(1, "is no first record"))
                : Optional.empty();
    }

    private static Optional<ChainFault> checkSuccessor(
            ChainedRecord previous, ChainedRecord record) {
        long expectedNumber = previous.number() + 1;
        if (record.number() < expectedNumber) {
            return Optional.of(new ChainFault(expectedNumber, "is out of its place"));
        }
        if (record.number() > expectedNumber) {
            long missing = record.number() - expectedNumber;
            return Optional.of(new ChainFault(expectedNumber, missing + " records are missing"));
        }
        return Arrays.equals(record.previousHash(), previous.hash())
                ? Optional.empty()
                : Optional.of(new ChainFault(record.number(), "does not follow the one before it"));
    }

    private static Optional<ChainFault> checkHead(List<ChainedRecord> records, ChainHead head) {
        long first = records.isEmpty() ? 0 : records.get(0).number();
        long last = records.isEmpty() ? 0 : records.get(records.size() - 1).number();
        if (head.number() > last) {
            String description =
                    "the last "
                            + (head.number() - last)
                            + " records are lost: others know of number "
                            + head.number();
            return Optional.of(new ChainFault(last + 1, description));
        }
        if (head.number() < first || head.number() == 0) {
            return Optional.empty(); // the record was deleted due to its age, or the head is empty
        }
        boolean isPresent = records.stream().anyMatch(record -> matches(record, head));
        return isPresent
                ? Optional.empty()
                : Optional.of(new ChainFault(head.number(), "others know it otherwise"));
    }

    private static boolean matches(ChainedRecord record, ChainHead head) {
        return record.number() == head.number()
                && HexFormat.of().formatHex(record.hash()).equals(head.hash());
    }
}
