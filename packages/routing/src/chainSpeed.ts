/**
 * Estimates the decoding speed of a chain of engines from the operator's description of the model.
 *
 * Every engine works in passes. A pass decodes a few tokens for each request in its batch, and its
 * duration depends on the weights and on the batch size. A request that arrives during a pass waits
 * for the next one. Prefill of prompts is interleaved with decoding.
 */
import type { ModelDescription } from './routingDocument';

/** The part of a chain that one engine runs. */
export interface ChainPart {
  readonly layers: number;
  /** Time of a step relative to the reference accelerator. */
  readonly stepFactor: number;
  /** Time to read a prompt relative to the reference accelerator. */
  readonly readFactor: number;
}

export interface ChainSpeed {
  /** Time of one pass of a request through the whole chain, in milliseconds. */
  readonly cycleMs: number;
  /** The part of `cycleMs` that a request spends at each engine, in the order of the parts. */
  readonly stageMs: readonly number[];
  /** Time to decode an answer of usual length, in milliseconds. */
  readonly answerMs: number;
  /** Throughput with the given number of requests in flight. */
  readonly requestsPerS: number;
}

/** One-way network latency inside a data centre, plus the wake-up at the engine. */
const HOP_MS = 0.3;
/** A request that arrives during a pass waits for half of it on average. */
const WAIT_SHARE = 0.5;
/** Upper bound for the share of an engine's time spent on prefill; above it, decoding stalls. */
const MAX_READING_SHARE = 0.9;
/** Iterations of the fixed point; more of them change the cycle by less than 1 %. */
const ITERATIONS = 24;
const MS_PER_S = 1000;

interface PassState {
  readonly cycleMs: number;
  readonly requests: number;
  readonly perMs: number;
}

/** Time that a request spends at one engine per cycle, in milliseconds. */
function stageTimeMs(part: ChainPart, model: ModelDescription, state: PassState): number {
  const share = part.layers / model.layers;
  const context = model.usualPromptTokens + model.usualAnswerTokens / 2;
  const perRequestMs = model.stepPerRequestMs + model.contextMsPerToken * context;
  const scale = model.stepsPerPass * share * part.stepFactor;
  const readMs =
    (model.usualPromptTokens / model.readTokensPerS) * MS_PER_S * part.readFactor * share;
  const writingShare = 1 - Math.min(MAX_READING_SHARE, state.perMs * readMs);
  // The batch of a pass consists of the requests that arrive during a pass, so its duration enters
  // on both sides of the equation.
  const idleMs = (scale * model.stepMs) / writingShare;
  const perItemMs = (scale * perRequestMs) / writingShare;
  const growth = Math.min(MAX_READING_SHARE, (perItemMs * state.requests) / state.cycleMs);
  const passMs = Math.max(idleMs + perItemMs, idleMs / (1 - growth));
  const perPass = Math.max(1, (state.requests * passMs) / state.cycleMs);
  const busyShare = Math.min(1, (state.requests * passMs) / state.cycleMs / perPass);
  return passMs * (1 + WAIT_SHARE * busyShare) + HOP_MS;
}

/** Estimates the speed of a chain with the given number of usual requests in flight. */
export function estimateChainSpeed(
  parts: readonly ChainPart[],
  requests: number,
  model: ModelDescription,
): ChainSpeed {
  const passes = Math.max(1, model.usualAnswerTokens / model.stepsPerPass);
  let cycleMs = parts.length * (HOP_MS + model.stepMs);
  let stageMs: readonly number[] = [];
  for (let round = 0; round < ITERATIONS; round += 1) {
    const state = { cycleMs, requests, perMs: requests / (cycleMs * passes) };
    stageMs = parts.map((part) => stageTimeMs(part, model, state));
    const nextMs = stageMs.reduce((sum, partMs) => sum + partMs, 0);
    // Averages with the previous value: the iteration oscillates without damping.
    cycleMs = (cycleMs + nextMs) / 2;
  }
  const answerMs = cycleMs * passes;
  return { cycleMs, stageMs, answerMs, requestsPerS: (requests / answerMs) * MS_PER_S };
}
