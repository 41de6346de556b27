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

/** Checks that dependencies run downwards only, and that the core has no I/O. */
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
  static final ArchRule NOTHING_NAMES_THE_PLATFORM =
      noClasses()
          .that()
          .resideOutsideOfPackage("org.vaneworks.platform..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.vaneworks.platform..");

  @ArchTest
  static final ArchRule THEMES_HAVE_NO_CIRCLE =
      slices().matching("org.vaneworks.coordination.(*)..").should().beFreeOfCycles();

  /** What is not yet in a package of its own may use those that are, never the other way round. */
  @ArchTest
  static final ArchRule THEMES_DO_NOT_USE_WHAT_HAS_NONE =
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

  /** Admission asks routing, and both know endpoints; nothing of it runs the other way. */
  @ArchTest
  static final ArchRule ROUTING_AND_REQUESTS_DO_NOT_USE_ADMISSION =
      noClasses()
          .that()
          .resideInAnyPackage(
              "org.vaneworks.coordination.routing..", "org.vaneworks.coordination.requests..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.vaneworks.coordination.admission..");

  /** A pipeline is told its route and its budget; it knows neither placement nor forwarding. */
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

  /** Records of requests know no peers; peers carry them. */
  @ArchTest
  static final ArchRule ONCE_DOES_NOT_USE_MEMBERSHIP =
      noClasses()
          .that()
          .resideInAPackage("org.vaneworks.coordination.once..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.vaneworks.coordination.membership..");

  /** The forwarding node and the product's own daemon share only what both are built on. */
  @ArchTest
  static final ArchRule FORWARDING_DOES_NOT_USE_THE_OTHER_DAEMON =
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
