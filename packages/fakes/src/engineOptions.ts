/** How a stand-in engine behaves; every field can be set from the command line. */
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
  /** Time of a step with one item. */
  readonly stepBaseMs: number;
  /** What each further item adds. */
  readonly stepPerItemMs: number;
  /** What each prompt token adds beyond the first. */
  readonly prefillPerTokenMs: number;
  readonly linkDelayMs: number;
  readonly linkBytesPerS: number;
  readonly isFencingChecked: boolean;
  /** Tokens whose key-value state fits into memory. */
  readonly memoryTokens: number;
  /** How old a load report is when it is sent. */
  readonly loadLagMs: number;
  /** One cache event in this many is lost; 0 loses none. */
  readonly cacheEventLossEvery: number;
  readonly cacheEventDelayMs: number;
  readonly announceIntervalMs: number;
  /** Entry VMs to ask for addresses, as host:port. */
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
