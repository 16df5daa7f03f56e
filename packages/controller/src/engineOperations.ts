/** What the control plane can do with model engines; a platform or a protocol implements it. */
import type { LayerRange } from '@spoolplank/membership';

/** An engine to speak to. */
export interface EngineAddress {
  readonly instanceId: string;
  readonly address: string;
}

/** `refused`: the engine answered that the order does not fit, and nothing has begun. */
export type OrderOutcome = 'begun' | 'already-so' | 'refused' | 'unknown';

export interface EngineOrders {
  /** Orders an engine to hold just this range; resolves with what it answered. */
  place(engine: EngineAddress, range: LayerRange): Promise<OrderOutcome>;
  /**
   * The layers that an engine holds now; null when it holds none.
   *
   * @throws SpoolplankError `unreachable`.
   */
  readLayers(engine: EngineAddress): Promise<LayerRange | null>;
  /** Whether a new connection to the address is accepted in time. */
  isReachable(address: string, timeoutMs: number): Promise<boolean>;
}
