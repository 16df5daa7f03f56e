/** Simulates the prefix cache events of an engine, which arrive delayed and with gaps. */
export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'dropped';
  readonly handle: string;
  readonly tokens: number;
}

export interface CacheEventLog {
  publish(kind: CacheEvent['kind'], handle: string, tokens: number): void;
  since(sequence: number): readonly CacheEvent[];
}

export interface CacheEventLogOptions {
  readonly delayMs: number;
  /** Every n-th event is lost; 0 loses none. */
  readonly lossEvery: number;
}

const MAX_EVENTS = 1000;

export function createCacheEventLog({ delayMs, lossEvery }: CacheEventLogOptions): CacheEventLog {
  const events: CacheEvent[] = [];
  let lastSequence = 0;
  return {
    publish(kind, handle, tokens) {
      lastSequence += 1;
      const event = { sequence: lastSequence, kind, handle, tokens };
      if (lossEvery > 0 && lastSequence % lossEvery === 0) return;
      setTimeout(() => {
        events.push(event);
        if (events.length > MAX_EVENTS) events.shift();
      }, delayMs);
    },
    since: (after) => events.filter(({ sequence }) => sequence > after),
  };
}
