package ochretiller;

import java.io.IOException;
import ochretiller.sim.SimHost;

/** The program's entry: hands over to the part that the first word names. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("simhost")) {
            String words = String.join(" ", args);
            System.err.println("ochretiller: unknown command '" + words + "'; usage: simhost");
            System.exit(2);
        }
        System.exit(SimHost.serve(System.in, System.out, System.err));
    }
}
