/** A fake model weight store, with a bandwidth limit shared by all transfers. */
import { closeServer, delay, listen, portOf, sendJson } from '@spoolplank/node';

export interface FakeWeightStoreOptions {
  readonly host: string;
  readonly port: number;
  readonly bytesPerS: number;
  readonly bytesPerLayer: number;
}

export const DEFAULT_WEIGHT_STORE_OPTIONS: FakeWeightStoreOptions = {
  host: '127.0.0.1',
  port: 0,
  bytesPerS: 1e9,
  bytesPerLayer: 1e7,
};

export interface FakeWeightStore {
  readonly port: number;
  close(): Promise<void>;
}

const MS_PER_S = 1000;

/**
 * Serves `GET /weights?firstLayer=&lastLayer=`: answers after the time that a transfer of these
 * layers takes.
 */
export async function startFakeWeightStore(
  overrides: Partial<FakeWeightStoreOptions> = {},
): Promise<FakeWeightStore> {
  const options = { ...DEFAULT_WEIGHT_STORE_OPTIONS, ...overrides };
  let idleAtMs = 0;
  const server = await listen({
    ...options,
    onRequest(request, response) {
      const { searchParams } = new URL(request.url ?? '/', 'http://store');
      const layers =
        Number(searchParams.get('lastLayer')) - Number(searchParams.get('firstLayer')) + 1;
      const bytes = layers * options.bytesPerLayer;
      const nowMs = performance.now();
      idleAtMs = Math.max(idleAtMs, nowMs) + (bytes / options.bytesPerS) * MS_PER_S;
      delay(idleAtMs - nowMs)
        .then(() => sendJson(response, 200, { bytes }))
        .catch(() => {});
    },
  });
  return { port: portOf(server), close: () => closeServer(server, true) };
}
