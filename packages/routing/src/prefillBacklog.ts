/**
 * Tracks the prefill work that was granted to each engine and is not done yet.
 *
 * A chain that has just come back is the emptiest, and an allocator that compares streams in flight
 * grants it nearly all new streams for a second: 75 to one chain and 1 to its neighbours. Each of
 * its engines then reads prompts in every pass, so times to first event rise from 60 to 160 ms and
 * streams pause for 250 to 350 ms, although no engine is slow.
 *
 * The work of an engine is stored as the time at which it will have been done, so that a grant
 * costs one addition for each stage and time passes without updates.
 */
import type { Clock } from '@spoolplank/shared';
import type { EnginePaces, PathTiming } from './pathTiming';
import { MEAN_ANSWER_SHARE, usualHeldTokens } from './requestSize';
import type { ModelDescription } from './routingDocument';
import type { PathStage } from './stagePath';

export interface PrefillRequest {
  /** Memory of the request, relative to one of usual size. */
  readonly size: number;
  /** Whether the stream continues, so that the answer so far is read again too. */
  readonly hasBegun: boolean;
}

/** Backlog of an engine that is acceptable on a path. */
export interface BacklogLimits {
  /** Time to read a prompt of usual length on the engine whose backlog counts. */
  readonly usualPromptMs: number;
  readonly stageCount: number;
  /** Timing of the path without load. */
  readonly idle: PathTiming;
}

export interface BacklogTargets {
  readonly targetGapMs?: number | undefined;
  /** Target time to the first event less the time that has passed. */
  readonly firstEventInMs?: number | undefined;
}

export interface PrefillBacklog {
  /** Adds the prefill of a granted request on each engine of its path. */
  add(
    stages: readonly PathStage[],
    tokens: number,
    speed: { readonly model: ModelDescription; readonly paces: EnginePaces },
  ): void;
  /** Prefill time that is left on an engine. */
  backlogMs(engineId: string): number;
}

const MS_PER_S = 1000;
/**
 * Share of an engine's time that prefill may use without a backlog; the rest is for decoding. A
 * stream meets the prompts of others at each of about ten engines. With 10 grants a second, which
 * use 2 to 4 % of an engine, no pauses were too long; with 75, which use 16 to 30 %, they were.
 */
const DRAIN_SHARE = 0.05;
/** Predicted pauses are means; the longest one of a stream is above them. */
const PAUSE_SHARE = 0.8;
/** Drained engines are removed at this size; a data centre has up to 40 engines. */
const MAX_ENGINES = 256;

/** Tokens that a request reads; the answer is assumed to be of usual length, as in its size. */
export function prefillTokens({ size, hasBegun }: PrefillRequest, model: ModelDescription): number {
  const heldTokens = usualHeldTokens(model) * size;
  const answerTokens = hasBegun ? 0 : model.usualAnswerTokens * MEAN_ANSWER_SHARE;
  return Math.max(0, heldTokens - answerTokens);
}

/** Time to read tokens over the layers of a stage. */
export function stagePrefillMs(
  { id, firstLayer, endLayer }: PathStage,
  tokens: number,
  { model, paces }: { readonly model: ModelDescription; readonly paces: EnginePaces },
): number {
  const readFactor = paces.get(id)?.readFactor ?? 1;
  const share = (endLayer - firstLayer) / model.layers;
  return (tokens / model.readTokensPerS) * MS_PER_S * readFactor * share;
}

/**
 * Returns the backlog up to which streams on a path keep their targets, as each engine of the path
 * may delay an event by its backlog. A backlog of one usual prompt is always acceptable, as it
 * occurs at usual load.
 */
export function acceptableBacklogMs(
  { usualPromptMs, stageCount, idle }: BacklogLimits,
  {
    targetGapMs = Number.POSITIVE_INFINITY,
    firstEventInMs = Number.POSITIVE_INFINITY,
  }: BacklogTargets,
): number {
  const perStage = 1 / Math.max(1, stageCount);
  const forPauseMs = (targetGapMs * PAUSE_SHARE - idle.pauseMs) * perStage;
  // The backlog makes no difference to a request that is late on the idle path.
  const isLate = firstEventInMs <= idle.firstEventMs;
  const forFirstMs = isLate
    ? Number.POSITIVE_INFINITY
    : (firstEventInMs - idle.firstEventMs) * perStage;
  return Math.max(usualPromptMs, Math.min(forPauseMs, forFirstMs));
}

export function createPrefillBacklog({
  clock,
}: {
  readonly clock: Pick<Clock, 'nowMs'>;
}): PrefillBacklog {
  const drainedAtMs = new Map<string, number>();

  function removeDrained(nowMs: number): void {
    drainedAtMs.forEach((atMs, id) => {
      if (atMs <= nowMs) drainedAtMs.delete(id);
    });
  }

  return {
    add(stages, tokens, speed) {
      const nowMs = clock.nowMs();
      if (drainedAtMs.size > MAX_ENGINES) removeDrained(nowMs);
      for (const stage of stages) {
        const startMs = Math.max(nowMs, drainedAtMs.get(stage.id) ?? nowMs);
        drainedAtMs.set(stage.id, startMs + stagePrefillMs(stage, tokens, speed) / DRAIN_SHARE);
      }
    },
    backlogMs: (engineId) =>
      Math.max(0, (drainedAtMs.get(engineId) ?? 0) - clock.nowMs()) * DRAIN_SHARE,
  };
}
