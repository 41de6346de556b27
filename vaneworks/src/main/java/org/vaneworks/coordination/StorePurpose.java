package org.vaneworks.coordination;

/** What a call to the platform's store is for; labels the counters. */
public enum StorePurpose {
  HEAD,
  PAGE,
  CHANGE,
  CLAIM
}
