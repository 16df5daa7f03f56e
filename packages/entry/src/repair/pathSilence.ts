/**
 * Determines when an event last arrived over each path, from the streams of this entry, and after
 * how long a silence a path may have lost an engine.
 *
 * A fixed share of the target gap finds the loss of an engine on a fast path late: it was repaired
 * 120 to 190 ms after its last event, of the 250 ms that are allowed. The timeout therefore follows
 * the gaps of the path: twice the mean, and more than the longest of the last seconds. A path that
 * pauses often keeps the fixed share.
 */
import type { PathStage } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';
import type { StreamRow } from '../dispatch/streamTable';

export interface PathSilence {
  /** Key of a path: streams over the same engines and layers share it. */
  keyOf(stages: readonly PathStage[]): string;
  /**
   * Time of the last event over each path, by key, on this VM's clock; none before an event. Called
   * periodically, it also measures the gaps of each path.
   */
  lastEventByPath(rows: Iterable<StreamRow>): ReadonlyMap<string, number>;
  /** Time after the last event over a path from which the path counts as silent. */
  timeoutMs(key: string, targetGapMs: number): number;
}

/** Gaps of a path, measured from one call to the next that finds a newer event. */
interface Rhythm {
  /** Null while no stream that has begun runs over the path. */
  lastEventMs: number | null;
  seenAtMs: number;
  meanGapMs: number;
  gaps: number;
  /** Longest gap of the current and of the previous window. */
  longestMs: number;
  previousLongestMs: number;
  windowStartMs: number;
}

/** Share of the target gap after which a path counts as silent at the latest. */
const MAX_GAP_SHARE = 0.4;
/** Silence in mean gaps. A pass that reads a prompt takes about twice the usual time. */
const SILENT_GAPS = 2;
/** Shorter pauses are frequent: timers of a busy VM and retransmitted packets take as long. */
const MIN_TIMEOUT_MS = 50;
/**
 * Number of gaps from which the rhythm is used. Of paths that pause in every eighth gap, 7 % show
 * no pause in 20 gaps, which was enough for three VMs to agree by chance, and 0.03 % in 60 gaps.
 */
const MIN_GAPS = 60;
/** Weight of a new gap in the moving average. */
const GAP_WEIGHT = 0.1;
/**
 * Margin above the longest recent gap. A VM with one stream on a path sees pauses several times a
 * second. Without the margin each of them would be reported as a loss, and three VMs that do so by
 * chance within 80 ms would cause a probe.
 */
const LONGEST_GAP_MARGIN = 1.1;
/** Gaps are remembered for one to two windows. */
const WINDOW_MS = 4000;
/** Time for which the rhythm of a path without streams is kept, as streams start every second. */
const RETENTION_MS = 10_000;

export function createPathSilence(clock: Pick<Clock, 'nowMs'>): PathSilence {
  const rhythms = new Map<string, Rhythm>();

  // Each granted slot arrives over the network with its own stage objects, so equal paths are
  // recognised by value. The map caches the key of each object.
  const keyByStages = new WeakMap<readonly PathStage[], string>();

  function keyOf(stages: readonly PathStage[]): string {
    const known = keyByStages.get(stages);
    if (known !== undefined) return known;
    const key = stages
      .map(({ id, firstLayer, endLayer }) => `${id}=${firstLayer}-${endLayer}`)
      .join(' ');
    keyByStages.set(stages, key);
    return key;
  }

  function createRhythm(nowMs: number): Rhythm {
    return {
      lastEventMs: null,
      seenAtMs: nowMs,
      meanGapMs: 0,
      gaps: 0,
      longestMs: 0,
      previousLongestMs: 0,
      windowStartMs: nowMs,
    };
  }

  function recordGap(known: Rhythm, gapMs: number, nowMs: number): void {
    if (nowMs - known.windowStartMs > WINDOW_MS) {
      known.previousLongestMs = known.longestMs;
      known.longestMs = 0;
      known.windowStartMs = nowMs;
    }
    known.gaps += 1;
    known.meanGapMs += (gapMs - known.meanGapMs) * Math.max(GAP_WEIGHT, 1 / known.gaps);
    known.longestMs = Math.max(known.longestMs, gapMs);
  }

  function recordEvent(key: string, atMs: number): void {
    const nowMs = clock.nowMs();
    const known = rhythms.get(key) ?? createRhythm(nowMs);
    rhythms.set(key, known);
    known.seenAtMs = nowMs;
    const gapMs = known.lastEventMs === null ? 0 : atMs - known.lastEventMs;
    if (gapMs > 0) recordGap(known, gapMs, nowMs);
    known.lastEventMs = Math.max(atMs, known.lastEventMs ?? atMs);
  }

  /** The time until the next stream begins is no gap of the path. */
  function recordIdle(key: string, known: Rhythm): void {
    known.lastEventMs = null;
    if (clock.nowMs() - known.seenAtMs > RETENTION_MS) rhythms.delete(key);
  }

  return {
    keyOf,
    lastEventByPath(rows) {
      const newest = new Map<string, number>();
      for (const { stages, lastProgressAtMs, hasBegun } of rows) {
        const key = keyOf(stages);
        const known = newest.get(key) ?? Number.NEGATIVE_INFINITY;
        if (hasBegun) newest.set(key, Math.max(known, lastProgressAtMs));
      }
      newest.forEach((atMs, key) => recordEvent(key, atMs));
      rhythms.forEach((known, key) => {
        if (!newest.has(key)) recordIdle(key, known);
      });
      return newest;
    },
    timeoutMs(key, targetGapMs) {
      const longestMs = targetGapMs * MAX_GAP_SHARE;
      const known = rhythms.get(key);
      if (!known || known.gaps < MIN_GAPS) return longestMs;
      const longestGapMs = Math.max(known.longestMs, known.previousLongestMs);
      const rhythmMs = Math.max(known.meanGapMs * SILENT_GAPS, longestGapMs * LONGEST_GAP_MARGIN);
      return Math.min(longestMs, Math.max(MIN_TIMEOUT_MS, rhythmMs));
    },
  };
}
