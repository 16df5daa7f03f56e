/**
 * Paces the streams that resume on the chains of a data centre after the loss of a head.
 *
 * When a head is lost, about sixty streams resume at once, and each repeats its prefill, which
 * keeps the slowest engine of a chain busy for 3 to 5 ms. Started together on one chain they would
 * delay each other and all streams that run there. Each chain therefore has turns, one in twice
 * that time, which leaves half of its slowest engine to the streams that run. The turns are kept
 * where the slots are granted, as only there the streams of all VMs are known: an entry that spaced
 * its own streams for the worst case delayed the second one by 0.3 to 0.55 s.
 */
import type { Clock } from '@spoolplank/shared';
import { usualHeldTokens } from './requestSize';
import type { ModelDescription } from './routingDocument';
import type { PathStage } from './stagePath';

export interface PrefillLoad {
  readonly model: ModelDescription;
  readonly stages: readonly PathStage[];
  /** Memory of the stream, relative to a request of usual size. */
  readonly size: number;
  /** Prefill time of a stage's engine relative to the model's. */
  readonly prefillFactorOf: (stage: PathStage) => number;
}

export interface ResumePacing {
  /**
   * Chooses a chain for a resumed stream, one with an early turn if possible. `find` is called with
   * heads to exclude and returns the best of the other chains. Undefined if no chain is found, or
   * its turn is later than the longest lead.
   */
  choose<Chain>(find: (excludedHeads: readonly string[]) => Chain | undefined): Chain | undefined;
  /** Takes the next turn of a chain; returns its time on this VM's clock. */
  takeTurn(headId: string, spacingMs: number): number;
}

const MS_PER_S = 1000;
/** Spacing in prefill times; resumed streams use at most half of the slowest engine. */
const PREFILLS_PER_TURN = 2;
/**
 * Bounds of the spacing. Timers are off by a millisecond, so shorter spacings have no effect; the
 * longest keeps a chain with a very slow engine usable if there is no other.
 */
const MIN_SPACING_MS = 2;
const MAX_SPACING_MS = 30;
/**
 * Leads that are tried in order. A turn is granted up to 40 ms ahead, twice the interval at which
 * the queue polls, so that no turn passes unused between two polls; a stream that would wait longer
 * looks for a slot in other data centres first. Calls to an allocator fail after 120 ms.
 */
const LEADS_MS: readonly number[] = [0, 10, 20, 40];

/** Time between two streams that resume on a chain. */
export function resumeSpacingMs({ model, stages, size, prefillFactorOf }: PrefillLoad): number {
  const slowestShare = stages.reduce((slowest, stage) => {
    const layers = stage.endLayer - stage.firstLayer;
    return Math.max(slowest, (layers / model.layers) * prefillFactorOf(stage));
  }, 0);
  const tokens = usualHeldTokens(model) * size;
  const prefillMs = (tokens / model.readTokensPerS) * MS_PER_S * slowestShare;
  return Math.min(MAX_SPACING_MS, Math.max(MIN_SPACING_MS, prefillMs * PREFILLS_PER_TURN));
}

export function createResumePacing({
  clock,
}: {
  readonly clock: Pick<Clock, 'nowMs'>;
}): ResumePacing {
  /** Time of the next turn of each chain; chains whose turn has come are removed. */
  const nextTurnAtMs = new Map<string, number>();

  function removePast(nowMs: number): void {
    nextTurnAtMs.forEach((atMs, headId) => {
      if (atMs <= nowMs) nextTurnAtMs.delete(headId);
    });
  }

  return {
    choose(find) {
      const nowMs = clock.nowMs();
      removePast(nowMs);
      let excludedBefore = Number.POSITIVE_INFINITY;
      for (const leadMs of LEADS_MS) {
        const excluded = [...nextTurnAtMs].filter(([, atMs]) => atMs > nowMs + leadMs);
        const chain =
          excluded.length < excludedBefore ? find(excluded.map(([headId]) => headId)) : undefined;
        if (chain !== undefined) return chain;
        excludedBefore = excluded.length;
      }
      return undefined;
    },
    takeTurn(headId, spacingMs) {
      const nowMs = clock.nowMs();
      const atMs = Math.max(nowMs, nextTurnAtMs.get(headId) ?? nowMs);
      nextTurnAtMs.set(headId, atMs + spacingMs);
      return atMs;
    },
  };
}
