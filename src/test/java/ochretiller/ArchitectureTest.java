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

/** Tests the package dependencies: layers depend only on lower ones, decision code does no I/O. */
class ArchitectureTest {
    /** Layers from top to bottom. A package may use only packages of lower layers. */
    private static final List<List<String>> LAYERS =
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

    /** Packages with decision logic, which must not use I/O, clocks or threads. */
    private static final List<String> DECISION_PACKAGES =
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

    private static String packageOf(JavaClass type) {
        String name = type.getPackageName();
        return name.equals("ochretiller") ? "" : name.substring("ochretiller.".length());
    }

    private static int layerOf(String packageName) {
        for (int i = 0; i < LAYERS.size(); i++) {
            if (LAYERS.get(i).contains(packageName)) {
                return i;
            }
        }
        throw new AssertionError("package " + packageName + " is not in any layer");
    }

    @Test
    void packagesDependOnLowerLayersOnly() {
        List<String> violations = new ArrayList<>();
        for (JavaClass type : classes) {
            for (var dependency : type.getDirectDependenciesFromSelf()) {
                JavaClass target = dependency.getTargetClass().getBaseComponentType();
                if (!target.getPackageName().startsWith("ochretiller")
                        || packageOf(target).equals(packageOf(type))) {
                    continue;
                }
                if (layerOf(packageOf(target)) <= layerOf(packageOf(type))) {
                    violations.add(dependency.getDescription());
                }
            }
        }
        assertThat(violations).isEmpty();
    }

    @Test
    void packagesHaveNoCycles() {
        slices().matching("ochretiller.(*)..").should().beFreeOfCycles().check(classes);
    }

    @Test
    void decisionPackagesUseNoSocketsFilesClocksOrThreads() {
        for (String packageName : DECISION_PACKAGES) {
            noClasses()
                    .that()
                    .resideInAPackage("ochretiller." + packageName)
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
