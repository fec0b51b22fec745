import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import javax.xml.stream.XMLInputFactory;
import javax.xml.stream.XMLStreamConstants;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamReader;

/**
 * Compares Checkstyle's report with the list of permitted violations, which can only shrink.
 *
 * <p>Run from the root: {@code java checks/CheckExceptions.java [--write] [REPORT LIST ROOT]}. A
 * line of the list is {@code CheckName path count}: how many violations of the check the file may
 * have, with its path relative to the root. The program fails if a file has more violations, and
 * also if it has fewer, so that the count is lowered or the line removed. {@code --write} writes a
 * new list from the report; it is meant for clean-ups only.
 */
public final class CheckExceptions {
    private static final String HEAD =
            "# What does not meet a rule of checkstyle.xml yet: check, file, how often. Lines only"
                    + " go or get lower.\n";

    /** A check and a file, the key of the list. */
    private record Place(String check, String path) implements Comparable<Place> {
        @Override
        public int compareTo(Place other) {
            int byCheck = check.compareTo(other.check);
            return byCheck != 0 ? byCheck : path.compareTo(other.path);
        }

        @Override
        public String toString() {
            return check + " " + path;
        }
    }

    /** Thrown if the report or the list is unusable. */
    private static final class Unusable extends Exception {
        private static final long serialVersionUID = 1;

        Unusable(String why) {
            super(why);
        }
    }

    private CheckExceptions() {}

    /**
     * Exits with 0 if report and list agree, 1 if they differ, and 2 for bad arguments or an
     * unusable report or list.
     *
     * @param words optionally {@code --write}, then optionally the paths of report, list and root
     */
    public static void main(String[] words) throws IOException {
        List<String> left = new ArrayList<>(List.of(words));
        boolean write = left.remove("--write");
        if (left.isEmpty()) {
            left = List.of("target/checks/checkstyle.xml", "checks/exceptions.txt", ".");
        }
        if (left.size() != 3) {
            System.err.println(
                    "usage: java checks/CheckExceptions.java [--write] [REPORT LIST ROOT]");
            System.exit(2);
        }
        try {
            System.exit(
                    run(write, Path.of(left.get(0)), Path.of(left.get(1)), Path.of(left.get(2))));
        } catch (Unusable e) {
            System.err.println(e.getMessage());
            System.exit(2);
        }
    }

    private static int run(boolean write, Path report, Path list, Path root)
            throws IOException, Unusable {
        Map<Place, List<String>> found = found(report, root.toRealPath());
        if (write) {
            StringBuilder text = new StringBuilder(HEAD);
            found.forEach((place, lines) -> text.append(place + " " + lines.size() + "\n"));
            Files.writeString(list, text);
            return 0;
        }
        List<String> faults = compare(found, listed(list));
        faults.forEach(System.err::println);
        System.out.println(
                faults.isEmpty()
                        ? "lint: nothing beyond the exceptions listed in " + list
                        : "lint: mend what is named above; "
                                + list
                                + " lists what may stay for now");
        return faults.isEmpty() ? 0 : 1;
    }

    /** Returns the differences between the violations found and those listed, one line each. */
    private static List<String> compare(
            Map<Place, List<String>> found, Map<Place, Integer> listed) {
        List<String> faults = new ArrayList<>();
        found.forEach(
                (place, lines) -> {
                    int may = listed.getOrDefault(place, 0);
                    if (lines.size() > may) {
                        faults.addAll(lines);
                        faults.add(place + ": " + lines.size() + " found, " + may + " listed");
                    }
                });
        listed.forEach(
                (place, may) -> {
                    int has = found.getOrDefault(place, List.of()).size();
                    if (has == 0) {
                        faults.add(place + ": exception not needed any more, drop its line");
                    } else if (has < may) {
                        faults.add(place + ": " + may + " listed, lower it to " + has);
                    }
                });
        return faults;
    }

    /** Returns the permitted number of violations by check and file. */
    private static Map<Place, Integer> listed(Path list) throws IOException, Unusable {
        Map<Place, Integer> listed = new TreeMap<>();
        for (String line : Files.readAllLines(list)) {
            if (line.isBlank() || line.startsWith("#")) {
                continue;
            }
            String[] words = line.split(" ");
            if (words.length != 3 || !words[2].matches("[1-9][0-9]{0,5}")) {
                throw new Unusable(list + ": not of the form 'CheckName path count': " + line);
            }
            if (listed.put(new Place(words[0], words[1]), Integer.valueOf(words[2])) != null) {
                throw new Unusable(list + ": listed twice: " + words[0] + " " + words[1]);
            }
        }
        return listed;
    }

    /** Returns the report's violations by check and file, one line of text each. */
    private static Map<Place, List<String>> found(Path report, Path root)
            throws IOException, Unusable {
        Map<Place, List<String>> found = new TreeMap<>();
        int files = 0;
        try (InputStream in = Files.newInputStream(report)) {
            XMLStreamReader xml = XMLInputFactory.newDefaultFactory().createXMLStreamReader(in);
            String path = "";
            while (xml.hasNext()) {
                if (xml.next() != XMLStreamConstants.START_ELEMENT) {
                    continue;
                }
                if (xml.getLocalName().equals("file")) {
                    files++;
                    path = root.relativize(Path.of(xml.getAttributeValue(null, "name"))).toString();
                } else if (xml.getLocalName().equals("error")) {
                    String check = check(xml.getAttributeValue(null, "source"));
                    found.computeIfAbsent(new Place(check, path), place -> new ArrayList<>())
                            .add(line(path, check, xml));
                }
            }
        } catch (XMLStreamException e) {
            throw new Unusable(report + ": not a report of Checkstyle: " + e.getMessage());
        }
        if (files == 0) {
            throw new Unusable(report + ": no file was checked");
        }
        return found;
    }

    /** Returns a check's name, given the name of its class. */
    private static String check(String source) {
        return source.substring(source.lastIndexOf('.') + 1).replaceAll("Check$", "");
    }

    private static String line(String path, String check, XMLStreamReader xml) {
        String line = xml.getAttributeValue(null, "line");
        return path + ":" + line + ": " + check + ": " + xml.getAttributeValue(null, "message");
    }
}
