/**
 * Settings of the decisions under load. All of them are optional; each mechanism can be switched
 * off, and the router then decides without it.
 */
import type { Finding } from '@spoolplank/shared';

export interface SharingSettings {
  /** Whether organisations and request classes share scarce slots. */
  readonly isEnabled: boolean;
  /** Share of the granted cost that every waiting class is guaranteed, from 0 to 0.5. */
  readonly minClassShare: number;
  /** Weights by organisation name; an organisation that is not listed has weight 1. */
  readonly organisationWeights: Readonly<Record<string, number>>;
}

/** A mechanism that is either on or off. */
export interface MechanismSettings {
  readonly isEnabled: boolean;
}

export interface DecisionSettings {
  readonly sharing: SharingSettings;
  /** Slots are granted by the load of each engine of a path. */
  readonly sharedEngines: MechanismSettings;
  /** Copies of layers follow demand and losses. */
  readonly demandPlacement: MechanismSettings;
  /** Streams are moved off engines that drain. */
  readonly migration: MechanismSettings;
  /** Requests are refused by a forecast of the time to a slot, with scheduled retry times. */
  readonly forecast: MechanismSettings;
}

export const DEFAULT_DECISIONS: DecisionSettings = {
  sharing: { isEnabled: true, minClassShare: 0.1, organisationWeights: {} },
  sharedEngines: { isEnabled: true },
  demandPlacement: { isEnabled: true },
  migration: { isEnabled: true },
  forecast: { isEnabled: true },
};

export interface DecisionSettingsResult {
  readonly settings: DecisionSettings;
  /** Problems of the values; fields with a problem have their default in `settings`. */
  readonly findings: readonly Finding[];
}

type Fields = Readonly<Record<string, unknown>>;

/** Above one half, two waiting classes could not both get their guaranteed share. */
const MAX_CLASS_SHARE = 0.5;
const POINTER = '/decisions';

function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/**
 * Reads the section `decisions` of a settings file. A missing section or field has its default.
 */
export function readDecisions(value: unknown, source: string): DecisionSettingsResult {
  const findings: Finding[] = [];
  const addFinding = (pointer: string, problem: string) =>
    findings.push({ source, pointer: `${POINTER}${pointer}`, problem });

  function readFields(parent: unknown, name: string): Fields {
    const fields = isFields(parent) ? parent[name] : undefined;
    if (fields === undefined) return {};
    if (isFields(fields)) return fields;
    addFinding(`/${name}`, 'must be an object');
    return {};
  }

  function readSwitch(section: string): boolean {
    const { isEnabled } = readFields(value, section);
    if (typeof isEnabled === 'boolean') return isEnabled;
    if (isEnabled !== undefined) addFinding(`/${section}/isEnabled`, 'must be true or false');
    return true;
  }

  function readClassShare(): number {
    const { minClassShare } = readFields(value, 'sharing');
    const fallback = DEFAULT_DECISIONS.sharing.minClassShare;
    if (minClassShare === undefined) return fallback;
    const isValid =
      typeof minClassShare === 'number' && minClassShare >= 0 && minClassShare <= MAX_CLASS_SHARE;
    if (isValid) return minClassShare;
    addFinding('/sharing/minClassShare', `must be a number from 0 to ${MAX_CLASS_SHARE}`);
    return fallback;
  }

  function readWeights(): Readonly<Record<string, number>> {
    const weights = readFields(readFields(value, 'sharing'), 'organisationWeights');
    const valid = Object.entries(weights).flatMap(([name, weight]): [string, number][] => {
      if (typeof weight === 'number' && Number.isFinite(weight) && weight > 0) {
        return [[name, weight]];
      }
      addFinding(`/sharing/organisationWeights/${name}`, 'must be a number above 0');
      return [];
    });
    return Object.fromEntries(valid);
  }

  if (value !== undefined && !isFields(value)) addFinding('', 'must be an object');
  const settings: DecisionSettings = {
    sharing: {
      isEnabled: readSwitch('sharing'),
      minClassShare: readClassShare(),
      organisationWeights: readWeights(),
    },
    sharedEngines: { isEnabled: readSwitch('sharedEngines') },
    demandPlacement: { isEnabled: readSwitch('demandPlacement') },
    migration: { isEnabled: readSwitch('migration') },
    forecast: { isEnabled: readSwitch('forecast') },
  };
  return { settings, findings };
}
