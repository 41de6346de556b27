package org.vaneworks.coordination.store;

/** What a call to the platform's store is for; labels the counters. */
public enum StorePurpose {
  HEAD,
  PAGE,
  CHANGE,
  CLAIM
}
