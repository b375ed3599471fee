package mallowstall;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.equivalentTo;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTag;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.time.Clock;
import java.time.Instant;
import java.util.Timer;
import mallowstall.core.ControllerCore;

/**
 * Checks the dependencies between packages, which the compiler does not enforce. This test runs in
 * its own process with a larger heap. To run it alone: {@code mvn test -Dtest=ArchitectureTest
 * -Dsurefire.failIfNoSpecifiedTests=false}.
 */
@ArchTag("architecture")
@AnalyzeClasses(packages = "mallowstall", importOptions = DoNotIncludeTests.class)
final class ArchitectureTest {
  private static final String CORE = "mallowstall.core..";
  private static final String[] ADAPTERS = {
    "mallowstall.state..",
    "mallowstall.cloud..",
    "mallowstall.workers..",
    "mallowstall.users..",
    "mallowstall.peers.."
  };

  private ArchitectureTest() {}

  /** Outside of its own packages, the core uses only {@code Constants} of the program's classes. */
  @ArchTest
  static final ArchRule CORE_USES_NO_OTHER_PACKAGE_OF_THE_PROGRAM =
      noClasses()
          .that()
          .resideInAPackage(CORE)
          .should()
          .dependOnClassesThat(
              resideInAnyPackage("mallowstall..")
                  .and(not(resideInAnyPackage(CORE)))
                  .and(not(equivalentTo(Constants.class))));

  @ArchTest
  static final ArchRule CORE_DOES_NO_INPUT_OR_OUTPUT =
      noClasses()
          .that()
          .resideInAPackage(CORE)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.io..",
              "java.net..",
              "java.nio..",
              "io.netty..",
              "com.fasterxml..",
              "org.apache..",
              "io.micrometer..",
              "picocli..")
          .orShould()
          .accessField(System.class, "out")
          .orShould()
          .accessField(System.class, "err");

  @ArchTest
  static final ArchRule CORE_READS_NO_CLOCK =
      noClasses()
          .that()
          .resideInAPackage(CORE)
          .should()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .dependOnClassesThat()
          .areAssignableTo(Clock.class)
          .orShould()
          .callMethod(Instant.class, "now")
          .orShould()
          .dependOnClassesThat()
          .resideInAPackage("java.time..");

  @ArchTest
  static final ArchRule CORE_USES_NO_THREADS =
      noClasses()
          .that()
          .resideInAPackage(CORE)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("java.util.concurrent..")
          .orShould()
          .dependOnClassesThat()
          .belongToAnyOf(Thread.class, ThreadLocal.class, Runtime.class, Timer.class);

  @ArchTest
  static final ArchRule LAYERS_OF_THE_CORE =
      layeredArchitecture()
          .consideringOnlyDependenciesInAnyPackage("mallowstall.core..")
          .layer("model")
          .definedBy("mallowstall.core.model..")
          .layer("kernel")
          .definedBy("mallowstall.core.kernel..")
          .layer("kv")
          .definedBy("mallowstall.core.kv..")
          .layer("cluster")
          .definedBy("mallowstall.core.cluster..")
          .layer("jobs")
          .definedBy("mallowstall.core.jobs..")
          .layer("machines")
          .definedBy("mallowstall.core.machines..")
          .layer("quota")
          .definedBy("mallowstall.core.quota..")
          .layer("autoscaling")
          .definedBy("mallowstall.core.autoscaling..")
          .layer("placement")
          .definedBy("mallowstall.core.placement..")
          .layer("api")
          .definedBy("mallowstall.core.api..")
          .layer("core")
          .definedBy("mallowstall.core")
          .whereLayer("model")
          .mayNotAccessAnyLayer()
          .whereLayer("kernel")
          .mayOnlyAccessLayers("model")
          .whereLayer("kv")
          .mayOnlyAccessLayers("model", "kernel")
          .whereLayer("cluster")
          .mayOnlyAccessLayers("model", "kernel", "kv")
          .whereLayer("jobs")
          .mayOnlyAccessLayers("model", "kernel", "kv", "cluster")
          .whereLayer("machines")
          .mayOnlyAccessLayers("model", "kernel", "kv", "cluster")
          .whereLayer("quota")
          .mayOnlyAccessLayers("model", "kernel", "kv", "cluster", "jobs")
          .whereLayer("autoscaling")
          .mayOnlyAccessLayers("model", "kernel", "kv", "cluster")
          .whereLayer("placement")
          .mayOnlyAccessLayers("model", "kernel", "kv", "cluster", "jobs", "quota", "autoscaling")
          .whereLayer("api")
          .mayOnlyAccessLayers("model", "kernel", "kv", "cluster")
          .whereLayer("core")
          .mayNotBeAccessedByAnyLayer()
          .ensureAllClassesAreContainedInArchitectureIgnoring(
              not(resideInAnyPackage("mallowstall.core..")));

  @ArchTest
  static final ArchRule ADAPTERS_DO_NOT_DEPEND_ON_EACH_OTHER =
      slices()
          .matching("mallowstall.(state|cloud|workers|users|peers)..")
          .should()
          .notDependOnEachOther();

  @ArchTest
  static final ArchRule NO_PACKAGE_CYCLES =
      slices().matching("mallowstall.(**)").should().beFreeOfCycles();

  /** All other packages use the interfaces of core.api. */
  @ArchTest
  static final ArchRule ONLY_CONTROLLER_DEPENDS_ON_CONTROLLER_CORE =
      classes()
          .that()
          .areAssignableTo(ControllerCore.class)
          .should()
          .onlyHaveDependentClassesThat()
          .resideInAnyPackage("mallowstall", "mallowstall.core");

  /** An adapter uses only the core's data, the effects it executes and the events it delivers. */
  @ArchTest
  static final ArchRule ADAPTERS_DEPEND_ONLY_ON_MODEL_KERNEL_AND_API_OF_CORE =
      noClasses()
          .that()
          .resideInAnyPackage(ADAPTERS)
          .should()
          .dependOnClassesThat(
              resideInAnyPackage(CORE)
                  .and(
                      not(
                          resideInAnyPackage(
                              "mallowstall.core.model..",
                              "mallowstall.core.kernel..",
                              "mallowstall.core.api.."))));

  @ArchTest
  static final ArchRule ADAPTERS_DO_NOT_DEPEND_ON_CONTROLLER =
      noClasses()
          .that()
          .resideInAnyPackage(ADAPTERS)
          .should()
          .dependOnClassesThat(
              resideInAnyPackage("mallowstall").and(not(equivalentTo(Constants.class))));
}
