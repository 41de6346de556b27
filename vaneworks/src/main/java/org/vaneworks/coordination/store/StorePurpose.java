package org.vaneworks.coordination.store;

/** Purpose of a call to the platform's store; used as a metric label. */
public enum StorePurpose {
  HEAD,
  PAGE,
  CHANGE,
  CLAIM
}
