/** A simulated link to another engine of a chain, with configurable bandwidth and delay. */
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

/** Bytes of one position's activation on the simulated link. */
const ACTIVATION_BYTES = 16_384;
const MS_PER_S = 1000;
const SEND_TIMEOUT_MS = 2000;

/**
 * Creates a link that sends all pending hops in one request. A failed request is not retried: the
 * sessions on it stall, as after a network partition.
 */
export function createHopLink(endpoint: Endpoint, readLinkSpeed: () => LinkSpeed): HopLink {
  const agent = createAgent(4);
  let pendingHops: Hop[] = [];
  let isScheduled = false;
  let idleAtMs = 0;

  function flush(): void {
    isScheduled = false;
    const hops = pendingHops;
    pendingHops = [];
    const { delayMs, bytesPerS } = readLinkSpeed();
    const activations = hops.reduce((sum, { activations: values }) => sum + values.length, 0);
    const nowMs = performance.now();
    idleAtMs =
      Math.max(idleAtMs, nowMs) + ((activations * ACTIVATION_BYTES) / bytesPerS) * MS_PER_S;
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
    const waitMs = idleAtMs + delayMs - nowMs;
    if (waitMs < 0.3) deliver();
    else setTimeout(deliver, waitMs);
  }

  return {
    send(hop) {
      pendingHops.push(hop);
      if (isScheduled) return;
      isScheduled = true;
      setImmediate(flush);
    },
  };
}
