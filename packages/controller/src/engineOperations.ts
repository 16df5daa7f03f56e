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
}
