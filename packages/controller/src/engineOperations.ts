/** Operations of the control plane on model engines, implemented by a platform or a protocol. */
import type { LayerRange, NoticeListener } from '@spoolplank/membership';

/** Address of an incarnation of an engine. */
export interface EngineAddress {
  readonly instanceId: string;
  readonly address: string;
}

/** `refused`: the engine rejected the order and has started nothing. */
export type OrderOutcome = 'begun' | 'already-so' | 'refused' | 'unknown';

export interface EngineState {
  /** Loaded layers; null when there are none. */
  readonly held: LayerRange | null;
  /** Slowdown relative to other engines of the same kind; 1 is the usual speed. */
  readonly slowdown: number;
  /** Orders that this incarnation has accepted; omitted by engines that do not count them. */
  readonly acceptedOrders?: number;
}

export interface PlaceOrder extends LayerRange {
  /** Whether requests that use released layers are aborted rather than drained. */
  readonly isPreempting: boolean;
  /** Timeout of the response, in milliseconds. */
  readonly timeoutMs: number;
  /**
   * Number of orders that the engine must have accepted so far; otherwise it refuses the order.
   * An order that arrives late, or at the next incarnation under the same name, thus has no effect.
   */
  readonly expectedOrders?: number;
}

export interface EngineOrders {
  /** Sets the listener for notices that engines send with any response. */
  onNotice(listener: NoticeListener): void;
  /** Orders an engine to hold exactly this range; resolves with its response. */
  place(engine: EngineAddress, order: PlaceOrder): Promise<OrderOutcome>;
  /**
   * Fetches the current state of an engine.
   *
   * @throws SpoolplankError `unreachable`.
   */
  inspect(engine: EngineAddress): Promise<EngineState>;
  /** Whether a new connection to the address is accepted within the timeout. */
  isReachable(address: string, timeoutMs: number): Promise<boolean>;
}
