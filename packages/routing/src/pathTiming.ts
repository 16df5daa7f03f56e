/**
 * Predicts the pause between events and the time to first event on a path, from the step and
 * prefill times, the slowdown and the load of each of its engines.
 *
 * An engine that is slow by a factor of 3 to 12, or that several chains share, can still have free
 * memory when the streams over it no longer keep their pauses. The free memory alone does not show
 * this. The model of an engine is that of `estimateChainSpeed`, with a load of its own for each
 * engine.
 */
import type { ModelDescription } from './routingDocument';
import type { PathStage } from './stagePath';

/** Speed of an engine relative to the reference accelerator, including its present slowdown. */
export interface EnginePace {
  readonly stepFactor: number;
  readonly readFactor: number;
  /** Whether the engine is slower than others of its kind. */
  readonly isSlow: boolean;
}

export type EnginePaces = ReadonlyMap<string, EnginePace>;

export interface PathTiming {
  readonly pauseMs: number;
  readonly firstEventMs: number;
}

export interface PathTimingOptions {
  readonly model: ModelDescription;
  readonly paces: EnginePaces;
  /** Load of an engine in requests of usual size times layers. */
  readonly loadOf: (engineId: string) => number;
  /** Size of the request that is added on each engine of the path. */
  readonly addedSize?: number;
}

/** One-way network latency inside a data centre, plus the wake-up at the engine. */
const HOP_MS = 0.3;
/** A request that arrives during a pass waits for half of it on average. */
const WAIT_SHARE = 0.5;
/** Upper bound for the share of an engine's time spent on one kind of work. */
const MAX_SHARE = 0.9;
/** Engines read a prompt in pieces of this many tokens, between the steps of the others. */
const PIECE_TOKENS = 512;
/** The fixed point is reached after 4 to 10 rounds; it is cut off at 1 % of the cycle. */
const MAX_ROUNDS = 24;
const TOLERANCE = 0.01;
const MS_PER_S = 1000;
const USUAL_PACE: EnginePace = { stepFactor: 1, readFactor: 1, isSlow: false };

interface StageWork {
  /** Time of a pass for the weights alone, and for one request of usual size. */
  readonly weightsMs: number;
  readonly requestMs: number;
  /** Time to read a prompt of usual length over the layers of the stage. */
  readonly readMs: number;
  /** Requests of usual size over as many layers as the stage has. */
  readonly requests: number;
}

function workOf(
  { id, firstLayer, endLayer }: PathStage,
  { model, paces, loadOf, addedSize = 0 }: PathTimingOptions,
): StageWork {
  const { stepFactor, readFactor } = paces.get(id) ?? USUAL_PACE;
  const layers = endLayer - firstLayer;
  const share = layers / model.layers;
  const context = model.usualPromptTokens + model.usualAnswerTokens / 2;
  const perRequestMs = model.stepPerRequestMs + model.contextMsPerToken * context;
  const scale = model.stepsPerPass * stepFactor * share;
  return {
    weightsMs: scale * model.stepMs,
    requestMs: scale * perRequestMs,
    readMs: (model.usualPromptTokens / model.readTokensPerS) * MS_PER_S * readFactor * share,
    requests: loadOf(id) / layers + addedSize,
  };
}

/** Share of its time that an engine spends on reading prompts. */
function readingShare({ requests, readMs }: StageWork, cycleMs: number, passes: number): number {
  return Math.min(MAX_SHARE, (requests / (cycleMs * passes)) * readMs);
}

/** Time that a request spends at an engine in each cycle. */
function stageTimeMs(work: StageWork, cycleMs: number, passes: number): number {
  const { weightsMs, requestMs, requests } = work;
  const writingShare = 1 - readingShare(work, cycleMs, passes);
  const idleMs = weightsMs / writingShare;
  const perItemMs = requestMs / writingShare;
  const growth = Math.min(MAX_SHARE, (perItemMs * requests) / cycleMs);
  const passMs = Math.max(idleMs + perItemMs, idleMs / (1 - growth));
  const busyShare = Math.min(1, (requests * passMs) / cycleMs);
  return passMs * (1 + WAIT_SHARE * busyShare) + HOP_MS;
}

export function predictTiming(
  stages: readonly PathStage[],
  options: PathTimingOptions,
): PathTiming {
  const { model } = options;
  const works = stages.map((stage) => workOf(stage, options));
  const passes = Math.max(1, model.usualAnswerTokens / model.stepsPerPass);
  let cycleMs = works.reduce((sum, { weightsMs }) => sum + weightsMs + HOP_MS, 0);
  for (let round = 0; round < MAX_ROUNDS; round += 1) {
    let nextMs = 0;
    for (const work of works) nextMs += stageTimeMs(work, cycleMs, passes);
    const changeMs = (nextMs - cycleMs) / 2;
    // Averages with the previous value: the iteration oscillates without damping.
    cycleMs += changeMs;
    if (Math.abs(changeMs) < cycleMs * TOLERANCE) break;
  }
  const pieces = Math.max(1, Math.ceil(model.usualPromptTokens / PIECE_TOKENS));
  let readMs = 0;
  let pieceMs = 0;
  works.forEach((work) => {
    const share = readingShare(work, cycleMs, passes);
    // Mean wait for prompts that arrived before (a queue with constant service time).
    readMs += work.readMs * (1 + share / (2 * (1 - share)));
    pieceMs = Math.max(pieceMs, work.readMs / pieces);
  });
  return { pauseMs: cycleMs + pieceMs, firstEventMs: readMs + cycleMs * pieces };
}
