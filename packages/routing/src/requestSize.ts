/**
 * Computes the memory that a request takes on a chain, relative to a request of usual size.
 *
 * Requests differ in size by a factor of eight. A chain that counts requests only by number admits
 * more long prompts than fit into its memory; the newest request is then preempted in the middle of
 * its stream, and its prompt is read again.
 */
import type { ModelDescription } from './routingDocument';

export interface RequestSize {
  /** Tokens of the prompt; 0 if unknown. */
  readonly promptTokens: number;
  /** Maximum tokens of the answer; 0 if the caller set no limit. */
  readonly maxAnswerTokens: number;
}

/**
 * Mean share of the usual answer that a running request holds. It is above half, as long answers
 * run longest and are over-represented among the requests in flight.
 */
export const MEAN_ANSWER_SHARE = 0.7;

/** Mean number of tokens that a running request holds. */
function heldTokens(promptTokens: number, answerTokens: number): number {
  return promptTokens + answerTokens * MEAN_ANSWER_SHARE;
}

/** Mean number of tokens that a running request of usual size holds. */
export function usualHeldTokens(model: ModelDescription): number {
  return heldTokens(model.usualPromptTokens, model.usualAnswerTokens);
}

/** The usual answer, bounded by the limit of the caller. */
function assumedAnswerTokens({ maxAnswerTokens }: RequestSize, model: ModelDescription): number {
  const usual = model.usualAnswerTokens;
  return maxAnswerTokens > 0 ? Math.min(usual, maxAnswerTokens) : usual;
}

/**
 * Returns the size of a request; 1 for a usual one. The length of the prompt is known; that of the
 * answer is assumed to be usual, bounded by the limit of the caller.
 */
export function sizeOfRequest(request: RequestSize, model: ModelDescription): number {
  const { promptTokens } = request;
  if (promptTokens === 0) return 1;
  return heldTokens(promptTokens, assumedAnswerTokens(request, model)) / usualHeldTokens(model);
}

const MS_PER_S = 1000;

/** Time for which a request occupies the engines: reading the prompt, then writing the answer. */
function engineMs(promptTokens: number, answerTokens: number, model: ModelDescription): number {
  return (promptTokens / model.readTokensPerS) * MS_PER_S + answerTokens * model.stepMs;
}

/**
 * Returns the cost of a slot for a request; 1 for a usual one. Organisations share slots by cost,
 * as requests differ in the time for which they occupy an engine.
 */
export function costOfRequest(request: RequestSize, model: ModelDescription): number {
  const { promptTokens } = request;
  if (promptTokens === 0) return 1;
  const usualMs = engineMs(model.usualPromptTokens, model.usualAnswerTokens, model);
  return engineMs(promptTokens, assumedAnswerTokens(request, model), model) / usualMs;
}
