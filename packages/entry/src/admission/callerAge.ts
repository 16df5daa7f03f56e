/**
 * Estimates how long a caller had been trying before its request arrived. Callers state how long
 * they will still wait. A caller that was refused, or could not connect, before has less time left
 * than the other callers of its organisation on the same route.
 */
export interface CallerAge {
  /**
   * Time since the caller's first attempt; 0 if unknown. A group consists of the callers of one
   * organisation on one route.
   */
  estimateMs(group: string, remainingMs: number | null): number;
}

/** Maximum number of groups. The group whose longest wait was raised least recently is evicted. */
const MAX_GROUPS = 4096;

export function createCallerAge(): CallerAge {
  const longestMs = new Map<string, number>();

  return {
    estimateMs(group, remainingMs) {
      if (remainingMs === null) return 0;
      const known = longestMs.get(group) ?? 0;
      if (remainingMs <= known) return known - remainingMs;
      longestMs.delete(group);
      longestMs.set(group, remainingMs);
      if (longestMs.size > MAX_GROUPS) {
        const [oldest] = longestMs.keys();
        if (oldest !== undefined) longestMs.delete(oldest);
      }
      return 0;
    },
  };
}
