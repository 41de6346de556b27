package org.vaneworks.coordination.membership;

/** Whether a member is thought alive; at equal sequence the later constant wins. */
public enum MemberStatus {
  ALIVE,
  SUSPECT,
  DEAD,
  LEFT
}
