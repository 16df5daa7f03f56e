/** The link to the next engine of a chain, with a bandwidth and a delay that can be set. */
import { callHttp, createAgent } from '@spoolplank/node';
import type { Endpoint } from '@spoolplank/node';
import type { Hop } from './engineProtocol';
import { HOPS_PATH } from './engineProtocol';

export interface LinkSpeed {
  readonly delayMs: number;
  readonly bytesPerS: number;
}

export interface HopLink {
  send(hop: Hop): void;
}

/** Size of one position's activation on the link that is stood in for. */
const ACTIVATION_BYTES = 16_384;
const MS_PER_S = 1000;
const SEND_TIMEOUT_MS = 2000;

/**
 * Creates a link. What waits is sent in one request; a request that fails is not repeated: the
 * sessions on it stall, as on a cut cable.
 */
export function createHopLink(endpoint: Endpoint, readSpeed: () => LinkSpeed): HopLink {
  const agent = createAgent(4);
  let waiting: Hop[] = [];
  let isScheduled = false;
  let freeAtMs = 0;

  function flush(): void {
    isScheduled = false;
    const hops = waiting;
    waiting = [];
    const { delayMs, bytesPerS } = readSpeed();
    const activations = hops.reduce((sum, { activations: values }) => sum + values.length, 0);
    const nowMs = performance.now();
    freeAtMs =
      Math.max(freeAtMs, nowMs) + ((activations * ACTIVATION_BYTES) / bytesPerS) * MS_PER_S;
    const deliver = () => {
      const body = JSON.stringify(hops);
      callHttp({
        endpoint,
        method: 'POST',
        path: HOPS_PATH,
        body,
        agent,
        timeoutMs: SEND_TIMEOUT_MS,
      }).catch(() => {});
    };
    const waitMs = freeAtMs + delayMs - nowMs;
    if (waitMs < 0.3) deliver();
    else setTimeout(deliver, waitMs);
  }

  return {
    send(hop) {
      waiting.push(hop);
      if (isScheduled) return;
      isScheduled = true;
      setImmediate(flush);
    },
  };
}
