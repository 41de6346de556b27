package org.vaneworks.tests;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.time.Instant;
import java.util.Random;

/** Tests that dependencies follow the layer order and that the core performs no I/O. */
@AnalyzeClasses(packages = "org.vaneworks", importOptions = ImportOption.DoNotIncludeTests.class)
final class LayersTest {
  @ArchTest
  static final ArchRule LAYERS =
      layeredArchitecture()
          .consideringOnlyDependenciesInLayers()
          .layer("telemetry")
          .definedBy("org.vaneworks.telemetry..")
          .layer("state")
          .definedBy("org.vaneworks.state..")
          .layer("coordination")
          .definedBy("org.vaneworks.coordination..")
          .layer("protocol")
          .definedBy("org.vaneworks.protocol..")
          .layer("transport")
          .definedBy("org.vaneworks.transport..")
          .layer("programs")
          .definedBy(
              "org.vaneworks.daemon..",
              "org.vaneworks.cli..",
              "org.vaneworks.testlib..",
              "org.vaneworks.platform..")
          .whereLayer("transport")
          .mayOnlyBeAccessedByLayers("programs")
          .whereLayer("protocol")
          .mayOnlyBeAccessedByLayers("transport", "programs")
          .whereLayer("coordination")
          .mayOnlyBeAccessedByLayers("protocol", "transport", "programs")
          .whereLayer("programs")
          .mayNotBeAccessedByAnyLayer();

  @ArchTest
  static final ArchRule NOTHING_DEPENDS_ON_PLATFORM =
      noClasses()
          .that()
          .resideOutsideOfPackage("org.vaneworks.platform..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.vaneworks.platform..");

  @ArchTest
  static final ArchRule COORDINATION_PACKAGES_HAVE_NO_CYCLES =
      slices().matching("org.vaneworks.coordination.(*)..").should().beFreeOfCycles();

  /** Classes directly in {@code coordination} may use its subpackages, but not vice versa. */
  @ArchTest
  static final ArchRule COORDINATION_PACKAGES_DO_NOT_USE_THEIR_PARENT =
      noClasses()
          .that()
          .resideInAPackage("org.vaneworks.coordination.*..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.vaneworks.coordination");

  @ArchTest
  static final ArchRule STORE_AND_CONCURRENT_ARE_LEAVES =
      noClasses()
          .that()
          .resideInAnyPackage(
              "org.vaneworks.coordination.store..", "org.vaneworks.coordination.concurrent..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "org.vaneworks.coordination.fleet..",
              "org.vaneworks.coordination.forwarding..",
              "org.vaneworks.coordination.placement..",
              "org.vaneworks.coordination.relay..",
              "org.vaneworks.coordination.shared..");

  @ArchTest
  static final ArchRule ENDPOINTS_USE_BOXES_AND_LEAVES_ONLY =
      noClasses()
          .that()
          .resideInAnyPackage(
              "org.vaneworks.coordination.endpoints..", "org.vaneworks.coordination.boxes..")
          .should()
          .dependOnClassesThat(
              JavaClass.Predicates.resideInAPackage("org.vaneworks.coordination..")
                  .and(
                      DescribedPredicate.not(
                          JavaClass.Predicates.resideInAnyPackage(
                              "org.vaneworks.coordination.endpoints..",
                              "org.vaneworks.coordination.boxes..",
                              "org.vaneworks.coordination.concurrent..",
                              "org.vaneworks.coordination.store.."))));

  /** Admission depends on routing and requests, and not vice versa. */
  @ArchTest
  static final ArchRule ROUTING_AND_REQUESTS_DO_NOT_USE_ADMISSION =
      noClasses()
          .that()
          .resideInAnyPackage(
              "org.vaneworks.coordination.routing..", "org.vaneworks.coordination.requests..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.vaneworks.coordination.admission..");

  /** Pipelines depend on routes and endpoints, but not on placement or forwarding. */
  @ArchTest
  static final ArchRule PIPELINES_USE_ROUTES_AND_ENDPOINTS_ONLY =
      noClasses()
          .that()
          .resideInAPackage("org.vaneworks.coordination.pipeline..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "org.vaneworks.coordination.fleet..",
              "org.vaneworks.coordination.forwarding..",
              "org.vaneworks.coordination.load..",
              "org.vaneworks.coordination.placement..",
              "org.vaneworks.coordination.relay..",
              "org.vaneworks.coordination.shared..");

  /** The once package does not depend on peers; peer messages depend on it. */
  @ArchTest
  static final ArchRule ONCE_DOES_NOT_USE_MEMBERSHIP =
      noClasses()
          .that()
          .resideInAPackage("org.vaneworks.coordination.once..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.vaneworks.coordination.membership..");

  /** The forwarding node and {@code vaneworksd} share only the packages that both are built on. */
  @ArchTest
  static final ArchRule FORWARDING_DOES_NOT_USE_VANEWORKSD_PACKAGES =
      noClasses()
          .that()
          .resideInAnyPackage(
              "org.vaneworks.coordination.forwarding..", "org.vaneworks.coordination.quarantine..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "org.vaneworks.coordination.once..",
              "org.vaneworks.coordination.membership..",
              "org.vaneworks.coordination.pipeline..");

  @ArchTest
  static final ArchRule NO_IO_IN_THE_CORE =
      noClasses()
          .that()
          .resideInAnyPackage("org.vaneworks.coordination..", "org.vaneworks.state..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.net..",
              "java.nio.channels..",
              "io.netty..",
              "io.servicetalk.http..",
              "io.servicetalk.transport..",
              "com.fasterxml..",
              "com.google.protobuf..");

  @ArchTest
  static final ArchRule NO_WALL_CLOCK_IN_THE_CORE =
      noClasses()
          .that()
          .resideInAnyPackage("org.vaneworks.coordination..", "org.vaneworks.state..")
          .should()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(Instant.class, "now")
          .orShould()
          .callMethod(Math.class, "random")
          .orShould()
          .callConstructor(Random.class);
}
