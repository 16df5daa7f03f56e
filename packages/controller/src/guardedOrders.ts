/** Engine operations that send nothing to an engine during a backoff that it requested. */
import { SpoolplankError } from '@spoolplank/shared';
import type { EngineNotices } from './engineNotices';
import type { EngineOrders } from './engineOperations';

export function guardOrders(
  orders: EngineOrders,
  { isBackingOff }: Pick<EngineNotices, 'isBackingOff'>,
): EngineOrders {
  return {
    onNotice: (listener) => orders.onNotice(listener),
    // Reported as refused, as the engine has started nothing; the caller pauses as after a refusal.
    place: (engine, order) =>
      isBackingOff(engine.instanceId) ? Promise.resolve('refused') : orders.place(engine, order),
    async inspect(engine) {
      if (!isBackingOff(engine.instanceId)) return orders.inspect(engine);
      throw new SpoolplankError('server-closed', { detail: `${engine.address} backs off.` });
    },
    // A probe opens a connection without sending a request, which a backoff does not forbid.
    isReachable: (address, timeoutMs) => orders.isReachable(address, timeoutMs),
  };
}
