package ochretiller;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;
import static org.assertj.core.api.Assertions.assertThat;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How the packages may lean on one another: downwards only, and decisions on nothing that acts. */
class ArchitectureTest {
    /** From the top down: a package may use those of the rows below its own, and none beside it. */
    private static final List<List<String>> ROWS =
            List.of(
                    List.of(""),
                    List.of("commands"),
                    List.of("node", "sim"),
                    List.of("operator"),
                    List.of("workers"),
                    List.of("jsonrpc", "uwsgi"),
                    List.of("paths", "frontend", "json5", "fleet.service"),
                    List.of("fleet.transport"),
                    List.of("settings"),
                    List.of("admission"),
                    List.of("processor", "records", "registry"),
                    List.of("idempotency", "contracts", "audit.files"),
                    List.of("net", "fakes", "execution"),
                    List.of(
                            "text",
                            "store",
                            "idempotency.durable",
                            "metrics",
                            "pools",
                            "budgets",
                            "fleet.membership",
                            "fleet.replication",
                            "fleet.rollout",
                            "audit"),
                    List.of("fleet.consensus"),
                    List.of("server", "time", "collections"),
                    List.of("model"));

    /** Settings put the decisions together; they read values and do nothing else. */
    private static final List<String> DECISIONS =
            List.of(
                    "admission",
                    "time",
                    "collections",
                    "model",
                    "server",
                    "idempotency.durable",
                    "pools",
                    "budgets",
                    "contracts",
                    "fleet.membership",
                    "fleet.replication",
                    "fleet.consensus",
                    "fleet.rollout",
                    "audit");

    private final JavaClasses classes =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("ochretiller");

    private static String part(JavaClass type) {
        String name = type.getPackageName();
        return name.equals("ochretiller") ? "" : name.substring("ochretiller.".length());
    }

    private static int row(String part) {
        for (int i = 0; i < ROWS.size(); i++) {
            if (ROWS.get(i).contains(part)) {
                return i;
            }
        }
        throw new AssertionError("package " + part + " has no place in the rows");
    }

    @Test
    void arrowsGoDownwardsOnly() {
        List<String> wrong = new ArrayList<>();
        for (JavaClass type : classes) {
            for (var arrow : type.getDirectDependenciesFromSelf()) {
                JavaClass to = arrow.getTargetClass().getBaseComponentType();
                if (!to.getPackageName().startsWith("ochretiller") || part(to).equals(part(type))) {
                    continue;
                }
                if (row(part(to)) <= row(part(type))) {
                    wrong.add(arrow.getDescription());
                }
            }
        }
        assertThat(wrong).isEmpty();
    }

    @Test
    void noCircles() {
        slices().matching("ochretiller.(*)..").should().beFreeOfCycles().check(classes);
    }

    @Test
    void decisionsKnowNoSocketsFilesClocksOrThreads() {
        for (String part : DECISIONS) {
            noClasses()
                    .that()
                    .resideInAPackage("ochretiller." + part)
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "java.io..",
                            "java.nio.file..",
                            "java.nio.channels..",
                            "java.net..",
                            "java.sql..",
                            "java.util.concurrent..",
                            "java.util.logging..",
                            "org.apache.mina..",
                            "ochretiller.store..")
                    .orShould()
                    .dependOnClassesThat()
                    .haveFullyQualifiedName("java.time.Clock")
                    .orShould()
                    .dependOnClassesThat()
                    .haveFullyQualifiedName("java.lang.Thread")
                    .orShould()
                    .dependOnClassesThat()
                    .haveFullyQualifiedName("java.util.Random")
                    .orShould()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .callMethod(System.class, "currentTimeMillis")
                    .check(classes);
        }
    }
}
