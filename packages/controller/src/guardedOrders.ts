/** The operations with engines, with the last look before anything is sent: whether one rests. */
import { SpoolplankError } from '@spoolplank/shared';
import type { EngineNotices } from './engineNotices';
import type { EngineOrders } from './engineOperations';

export function guardOrders(
  orders: EngineOrders,
  { isResting }: Pick<EngineNotices, 'isResting'>,
): EngineOrders {
  return {
    onNotice: (listener) => orders.onNotice(listener),
    // Nothing has begun, and the engine is left alone for a while, as after a refusal of its own.
    place: (engine, order) =>
      isResting(engine.instanceId) ? Promise.resolve('refused') : orders.place(engine, order),
    async inspect(engine) {
      if (!isResting(engine.instanceId)) return orders.inspect(engine);
      throw new SpoolplankError('server-closed', { detail: `${engine.address} rests.` });
    },
    // A connection over which nothing is sent asks nothing of the engine.
    isReachable: (address, timeoutMs) => orders.isReachable(address, timeoutMs),
  };
}
