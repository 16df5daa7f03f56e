/**
 * The operations with engines, with the last look before anything is sent: whether one backs off.
 */
import { SpoolplankError } from '@spoolplank/shared';
import type { EngineNotices } from './engineNotices';
import type { EngineOrders } from './engineOperations';

export function guardOrders(
  orders: EngineOrders,
  { isBackingOff }: Pick<EngineNotices, 'isBackingOff'>,
): EngineOrders {
  return {
    onNotice: (listener) => orders.onNotice(listener),
    // Nothing has begun, and the engine is left alone for a while, as after a refusal of its own.
    place: (engine, order) =>
      isBackingOff(engine.instanceId) ? Promise.resolve('refused') : orders.place(engine, order),
    async inspect(engine) {
      if (!isBackingOff(engine.instanceId)) return orders.inspect(engine);
      throw new SpoolplankError('server-closed', { detail: `${engine.address} backs off.` });
    },
    // A connection over which nothing is sent asks nothing of the engine.
    isReachable: (address, timeoutMs) => orders.isReachable(address, timeoutMs),
  };
}
