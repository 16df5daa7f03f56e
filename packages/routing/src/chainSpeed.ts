/**
 * How fast a chain of engines writes: an estimate from the operator's description of the model.
 *
 * Every engine works in passes. A pass writes a few tokens for each request that waits there, and
 * lasts as long as the weights and these requests need; a request that arrives meanwhile waits for
 * the next one. Prompts are read between the tokens of others.
 */
import type { ModelDescription } from './routingDocument';

/** What one engine runs of a chain. */
export interface ChainPart {
  readonly layers: number;
  /** Time of a step there against the reference accelerator. */
  readonly stepFactor: number;
  /** Time to read a prompt there against the reference accelerator. */
  readonly readFactor: number;
}

export interface ChainSpeed {
  /** Time between two passes of one request over the whole chain, in milliseconds. */
  readonly cycleMs: number;
  /** Time to write an answer of usual length, in milliseconds. */
  readonly answerMs: number;
  /** Requests that the chain finishes with so many in flight. */
  readonly requestsPerS: number;
}

/** One way inside a data centre, and the wake-up at the engine. */
const HOP_MS = 0.3;
/** A request that meets a pass under way waits for half of it on average. */
const WAIT_SHARE = 0.5;
/** Share of an engine's time that may go into prompts before writing comes to a halt. */
const MAX_READING_SHARE = 0.9;
/** The cycle settles within a few rounds; more change it by under one in a hundred. */
const ROUNDS = 24;
const MS_PER_S = 1000;

interface PassState {
  readonly cycleMs: number;
  readonly requests: number;
  readonly perMs: number;
}

/** Time that a request spends at one engine in each cycle. */
function visitMs(part: ChainPart, model: ModelDescription, state: PassState): number {
  const share = part.layers / model.layers;
  const context = model.usualPromptTokens + model.usualAnswerTokens / 2;
  const perRequestMs = model.stepPerRequestMs + model.contextMsPerToken * context;
  const scale = model.stepsPerPass * share * part.stepFactor;
  const readMs =
    (model.usualPromptTokens / model.readTokensPerS) * MS_PER_S * part.readFactor * share;
  const writingShare = 1 - Math.min(MAX_READING_SHARE, state.perMs * readMs);
  // Requests in one pass: those that arrive during it, so its length enters on both sides.
  const idleMs = (scale * model.stepMs) / writingShare;
  const eachMs = (scale * perRequestMs) / writingShare;
  const growth = Math.min(MAX_READING_SHARE, (eachMs * state.requests) / state.cycleMs);
  const passMs = Math.max(idleMs + eachMs, idleMs / (1 - growth));
  const perPass = Math.max(1, (state.requests * passMs) / state.cycleMs);
  const busyShare = Math.min(1, (state.requests * passMs) / state.cycleMs / perPass);
  return passMs * (1 + WAIT_SHARE * busyShare) + HOP_MS;
}

/** Estimates a chain with so many requests of usual size in flight. */
export function estimateChainSpeed(
  parts: readonly ChainPart[],
  requests: number,
  model: ModelDescription,
): ChainSpeed {
  const passes = Math.max(1, model.usualAnswerTokens / model.stepsPerPass);
  let cycleMs = parts.length * (HOP_MS + model.stepMs);
  for (let round = 0; round < ROUNDS; round += 1) {
    const state = { cycleMs, requests, perMs: requests / (cycleMs * passes) };
    const nextMs = parts.reduce((sum, part) => sum + visitMs(part, model, state), 0);
    // Half a step at a time: what more requests in a pass cost would else swing up and down.
    cycleMs = (cycleMs + nextMs) / 2;
  }
  const answerMs = cycleMs * passes;
  return { cycleMs, answerMs, requestsPerS: (requests / answerMs) * MS_PER_S };
}
