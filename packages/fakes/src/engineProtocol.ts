/** Messages between entry VMs and engines, and between the engines of a chain. */
import type { ChainStage, LineageMark } from '@spoolplank/routing';

export const HOPS_PATH = '/hops';
export const STREAMS_PATH = '/streams';

/** Opens a stream at the first engine of a chain. */
export interface StreamOrder {
  /** Unique id of the stream, made of session id and attempt number. */
  readonly handle: string;
  readonly session: string;
  readonly attempt: number;
  readonly fencingNumber: number;
  readonly model: string;
  readonly version: string;
  readonly stages: readonly ChainStage[];
  readonly prompt: string;
  /** Tokens generated so far, when a session is resumed after a failure. */
  readonly historyTokenIds: readonly number[];
  readonly maxTokens: number;
  readonly priority: number;
}

/** A message between stages: activations for the next stage, or a sampled token for the first. */
export interface Hop {
  readonly handle: string;
  readonly session: string;
  readonly fencingNumber: number;
  readonly stages: readonly ChainStage[];
  /** Index of the receiving stage. */
  readonly stageIndex: number;
  readonly kind: 'activations' | 'token' | 'cancel' | 'problem';
  /** Position of the first activation, counted over prompt and answer. */
  readonly fromPosition: number;
  readonly activations: readonly number[];
  readonly priority: number;
  readonly lineage: readonly LineageMark[];
  readonly problem?: string;
}

/** One line (NDJSON) of a streamed answer. */
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

/** One execution of an engine's layers over a range of positions, as `GET /record` returns it. */
export interface LayerRun {
  readonly handle: string;
  readonly session: string;
  readonly fromPosition: number;
  readonly toPosition: number;
  readonly firstLayer: number;
  readonly lastLayer: number;
}
