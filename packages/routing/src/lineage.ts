/** Checks that a token passed through every layer exactly once, in order. */
import type { ChainStage } from './chain';

/** Record that an engine adds to a token: the layers that it ran. */
export interface LineageMark {
  readonly engine: string;
  readonly firstLayer: number;
  readonly lastLayer: number;
}

export interface TokenEvent {
  /** Index in the session; 0 is the first token of the answer. */
  readonly position: number;
  readonly tokenId: number;
  readonly text: string;
  readonly lineage: readonly LineageMark[];
}

export type LineageProblem =
  'position-gap' | 'position-repeat' | 'stage-missing' | 'stage-wrong' | 'layer-gap';

/** Returns why a token is invalid; null when it may be forwarded. */
export function findLineageProblem(
  event: TokenEvent,
  expectedPosition: number,
  stages: readonly ChainStage[],
  layers: number,
): LineageProblem | null {
  if (event.position > expectedPosition) return 'position-gap';
  if (event.position < expectedPosition) return 'position-repeat';
  if (event.lineage.length !== stages.length) return 'stage-missing';
  let nextLayer = 0;
  for (const [index, mark] of event.lineage.entries()) {
    if (mark.engine !== stages[index]?.name) return 'stage-wrong';
    if (mark.firstLayer !== nextLayer) return 'layer-gap';
    nextLayer = mark.lastLayer + 1;
  }
  return nextLayer === layers ? null : 'layer-gap';
}
