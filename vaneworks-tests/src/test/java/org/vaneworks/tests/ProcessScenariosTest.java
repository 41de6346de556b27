package org.vaneworks.tests;

import static io.cucumber.junit.platform.engine.Constants.GLUE_PROPERTY_NAME;
import static io.cucumber.junit.platform.engine.Constants.PLUGIN_PROPERTY_NAME;

import org.junit.platform.suite.api.ConfigurationParameter;
import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/** Runs the Cucumber scenarios that start separate processes. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features/processes")
@ConfigurationParameter(key = GLUE_PROPERTY_NAME, value = "org.vaneworks.tests.processes")
@ConfigurationParameter(key = PLUGIN_PROPERTY_NAME, value = "summary")
final class ProcessScenariosTest {}
