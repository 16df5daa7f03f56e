/** What entry VMs and engines, and engines among themselves, say to each other. */
import type { ChainStage, LineageMark } from '@spoolplank/routing';

export const HOPS_PATH = '/hops';
export const STREAMS_PATH = '/streams';

/** Opens a stream at the first engine of a chain. */
export interface StreamOrder {
  /** Never used twice: session id and attempt number. */
  readonly handle: string;
  readonly session: string;
  readonly attempt: number;
  readonly fencingNumber: number;
  readonly model: string;
  readonly version: string;
  readonly stages: readonly ChainStage[];
  readonly prompt: string;
  /** Tokens of the answer so far, when a session goes on after a failure. */
  readonly historyTokenIds: readonly number[];
  readonly maxTokens: number;
  readonly priority: number;
}

/** Activations on their way to a stage, or a sampled token on its way back to the first. */
export interface Hop {
  readonly handle: string;
  readonly session: string;
  readonly fencingNumber: number;
  readonly stages: readonly ChainStage[];
  /** Index of the receiving stage. */
  readonly stageIndex: number;
  readonly kind: 'activations' | 'token' | 'cancel' | 'problem';
  /** Position, in prompt and answer together, of the first activation. */
  readonly fromPosition: number;
  readonly activations: readonly number[];
  readonly priority: number;
  readonly lineage: readonly LineageMark[];
  readonly problem?: string;
}

/** One line of a stream's answer. */
export type StreamLine =
  | {
      readonly kind: 'token';
      readonly position: number;
      readonly tokenId: number;
      readonly text: string;
      readonly lineage: readonly LineageMark[];
    }
  | { readonly kind: 'end'; readonly reason: 'length' | 'stop' }
  | { readonly kind: 'problem'; readonly problem: string };

/** A run of layers over positions, as the engine's record keeps it. */
export interface LayerRun {
  readonly handle: string;
  readonly session: string;
  readonly fromPosition: number;
  readonly toPosition: number;
  readonly firstLayer: number;
  readonly lastLayer: number;
}
