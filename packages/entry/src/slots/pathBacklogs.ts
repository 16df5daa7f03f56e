/**
 * Ranks paths whose engines have more prefill left than their streams can bear after the others.
 * Paths are ranked, not excluded: a request never waits while any path has a free slot.
 */
import {
  acceptableBacklogMs,
  createPrefillBacklog,
  prefillTokens,
  stagePrefillMs,
} from '@spoolplank/routing';
import type { BacklogLimits, EnginePaces, ModelDescription, PathStage } from '@spoolplank/routing';
import type { Clock } from '@spoolplank/shared';
import type { PathLayout, RatedChain } from '../dispatch/chainCatalog';
import type { LayoutTiming } from './pathChoice';
import type { SlotAsk } from './slotMessages';

interface PathSpeed {
  readonly model: ModelDescription;
  readonly paces: EnginePaces;
}

interface TimedLayout {
  readonly model: ModelDescription;
  readonly layout: Pick<PathLayout, 'paths' | 'paces'>;
  readonly timing: Pick<LayoutTiming, 'predictIdle'>;
}

export interface PathBacklogs {
  recordGranted(stages: readonly PathStage[], ask: SlotAsk, speed: PathSpeed): void;
  /** Whether the prefill granted to a path would make its streams miss their targets. */
  isBacklogged(chain: RatedChain, ask: SlotAsk, timed: TimedLayout): boolean;
  /**
   * Returns the costs of paths, raised for those with too much backlog. The given costs are by load
   * and latency, infinite for a path without a free slot.
   */
  rank(
    chains: readonly RatedChain[],
    costs: readonly number[],
    ask: SlotAsk,
    timed: TimedLayout,
  ): readonly number[];
}

/** What is constant for a path while its engines stay the same. */
interface PathLimits extends BacklogLimits {
  /** The engine with the most prefill when every head of the layout gets as many requests. */
  readonly slowestId: string;
}

/** Above the cost of any path by load and latency, so that the backlog alone ranks these paths. */
const PENALTY = 1_000_000;
/**
 * Difference of costs, in used shares, from which a backlog counts. Paths that differ by less are
 * chosen in turn, so that none of them takes all new streams. With half of this value, choices on
 * evenly loaded chains change.
 */
const UNEVEN_SHARE = 0.1;

/** Index of the least value; -1 if there is none or all are infinite. */
export function indexOfLeast(values: readonly number[]): number {
  let best = -1;
  let least = Number.POSITIVE_INFINITY;
  values.forEach((value, index) => {
    if (value >= least) return;
    best = index;
    least = value;
  });
  return best;
}

export function createPathBacklogs({
  clock,
}: {
  readonly clock: Pick<Clock, 'nowMs'>;
}): PathBacklogs {
  const backlog = createPrefillBacklog({ clock });
  /** By path object, which the catalog replaces when an engine or its speed changes. */
  const limits = new WeakMap<RatedChain, PathLimits>();

  function limitsOf(chain: RatedChain, { model, layout, timing }: TimedLayout): PathLimits {
    const known = limits.get(chain);
    if (known) return known;
    const { paths, paces } = layout;
    const tokens = model.usualPromptTokens;
    let slowestId = '';
    let usualPromptMs = 0;
    let mostWorkMs = 0;
    chain.stages.forEach((stage) => {
      const promptMs = stagePrefillMs(stage, tokens, { model, paces });
      const sharing = paths.filter(({ stages }) => stages.some(({ id }) => id === stage.id));
      const workMs = promptMs * new Set(sharing.map(({ headId }) => headId)).size;
      if (workMs <= mostWorkMs) return;
      mostWorkMs = workMs;
      slowestId = stage.id;
      usualPromptMs = promptMs;
    });
    const idle = timing.predictIdle(chain);
    const created = { slowestId, usualPromptMs, stageCount: chain.stages.length, idle };
    limits.set(chain, created);
    return created;
  }

  /** Cost to add to a path; 0 while its streams keep their targets. */
  function penaltyOf(chain: RatedChain, ask: SlotAsk, timed: TimedLayout): number {
    const path = limitsOf(chain, timed);
    const backlogMs = backlog.backlogMs(path.slowestId);
    if (backlogMs <= path.usualPromptMs) return 0;
    const { targetGapMs, targetFirstEventMs = Number.POSITIVE_INFINITY, waitedMs } = ask;
    const firstEventInMs = targetFirstEventMs - waitedMs;
    const acceptableMs = acceptableBacklogMs(path, { targetGapMs, firstEventInMs });
    return backlogMs > acceptableMs ? PENALTY + backlogMs : 0;
  }

  return {
    recordGranted(stages, ask, speed) {
      backlog.add(stages, prefillTokens(ask, speed.model), speed);
    },
    isBacklogged: (chain, ask, timed) => penaltyOf(chain, ask, timed) > 0,
    rank(chains, costs, ask, timed) {
      const cheapest = indexOfLeast(costs);
      const chain = chains[cheapest];
      if (!chain || penaltyOf(chain, ask, timed) === 0) return costs;
      const raised = costs.map((cost, index) => {
        const path = chains[index];
        return path ? cost + penaltyOf(path, ask, timed) : cost;
      });
      const other = indexOfLeast(raised);
      const isUneven = (costs[other] ?? 0) - (costs[cheapest] ?? 0) >= UNEVEN_SHARE;
      return isUneven ? raised : costs;
    },
  };
}
