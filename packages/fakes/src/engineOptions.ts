/** Options of a fake engine; each field can be set on the command line. */
export interface FakeEngineOptions {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly model: string;
  readonly version: string;
  readonly layers: number;
  readonly firstLayer: number;
  readonly lastLayer: number;
  readonly acceleratorKind: string;
  readonly maxBatch: number;
  /** Duration of a step with one item. */
  readonly stepBaseMs: number;
  /** Time that each further item adds to a step. */
  readonly stepPerItemMs: number;
  /** Time that each prompt token beyond the first adds to a step. */
  readonly prefillPerTokenMs: number;
  readonly linkDelayMs: number;
  readonly linkBytesPerS: number;
  readonly isFencingChecked: boolean;
  /** Capacity of the key-value memory, in tokens. */
  readonly memoryTokens: number;
  /** Age of the load that is reported, to simulate stale reports. */
  readonly loadLagMs: number;
  /** Every n-th cache event is lost; 0 loses none. */
  readonly cacheEventLossEvery: number;
  readonly cacheEventDelayMs: number;
  readonly announceIntervalMs: number;
  /** Entry VMs that are queried for the registrars, as host:port. */
  readonly addresses: readonly string[];
  readonly token: string;
}

export const DEFAULT_ENGINE_OPTIONS: FakeEngineOptions = {
  name: 'engine',
  host: '127.0.0.1',
  port: 0,
  dataCentre: 'dc1',
  model: 'model',
  version: 'v1',
  layers: 12,
  firstLayer: 0,
  lastLayer: 11,
  acceleratorKind: 'kind-a',
  maxBatch: 16,
  stepBaseMs: 4,
  stepPerItemMs: 0.2,
  prefillPerTokenMs: 0.02,
  linkDelayMs: 0.5,
  linkBytesPerS: 1e9,
  isFencingChecked: true,
  memoryTokens: 200_000,
  loadLagMs: 500,
  cacheEventLossEvery: 10,
  cacheEventDelayMs: 300,
  announceIntervalMs: 1000,
  addresses: [],
  token: '',
};
