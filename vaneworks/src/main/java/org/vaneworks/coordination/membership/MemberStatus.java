package org.vaneworks.coordination.membership;

/** Believed status of a member; among entries of equal sequence, the later constant wins. */
public enum MemberStatus {
  ALIVE,
  SUSPECT,
  DEAD,
  LEFT
}
