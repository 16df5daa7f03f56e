/** Time without announcements after which a backend server counts as lost. */

/** Announcements may be delayed by seconds; this many missed intervals exceed that delay. */
const LOST_INTERVALS = 3.5;
/**
 * Longest time a fact takes from one control VM to an entry that follows another: two exchanges
 * that are held for 800 ms each, and one retry after 300 ms.
 */
const FACT_PROPAGATION_MS = 2000;

/**
 * Time in milliseconds without an announcement after which a backend server counts as lost. When
 * announcements are more frequent than exchanges of facts, the propagation time is the limit:
 * otherwise all backend servers would count as lost between two exchanges.
 */
export function announcementTimeoutMs(announcementMs: number): number {
  return Math.max(LOST_INTERVALS * announcementMs, announcementMs + FACT_PROPAGATION_MS);
}
