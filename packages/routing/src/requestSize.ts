/**
 * How much of a chain's memory a request takes, against one of usual size.
 *
 * The load pattern it answers: requests differ eightfold in size. Counted by number, a chain takes
 * some more long prompts than it holds, and the newest request of all is put back in the middle
 * of its stream and read again.
 */
import type { ModelDescription } from './routingDocument';

export interface RequestSize {
  /** Tokens of the prompt; 0 where the caller did not say. */
  readonly promptTokens: number;
  /** Most tokens of the answer; 0 where the caller did not say. */
  readonly maxAnswerTokens: number;
}

/**
 * Share of an answer that a running request holds on average: long answers run longest, so of
 * those in flight more than half is written.
 */
export const MEAN_ANSWER_SHARE = 0.7;

/** Tokens that a running request holds on average. */
function heldTokens(promptTokens: number, answerTokens: number): number {
  return promptTokens + answerTokens * MEAN_ANSWER_SHARE;
}

/** Tokens that a running request of usual size holds. */
export function usualHeldTokens(model: ModelDescription): number {
  return heldTokens(model.usualPromptTokens, model.usualAnswerTokens);
}

/**
 * The size of a request, 1 for a usual one. The prompt is known; of the answer only the usual
 * length is, and that it is no longer than the caller allows.
 */
export function sizeOfRequest(request: RequestSize, model: ModelDescription): number {
  const { promptTokens, maxAnswerTokens } = request;
  if (promptTokens === 0) return 1;
  const usual = model.usualAnswerTokens;
  const answerTokens = maxAnswerTokens > 0 ? Math.min(usual, maxAnswerTokens) : usual;
  return heldTokens(promptTokens, answerTokens) / usualHeldTokens(model);
}
