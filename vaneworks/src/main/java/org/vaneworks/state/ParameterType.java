package org.vaneworks.state;

/** The types of template parameters. */
public enum ParameterType {
  INTEGER,
  STRING,
  ENUM
}
