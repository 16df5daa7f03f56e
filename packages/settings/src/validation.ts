import { Ajv } from 'ajv';
import { isIP } from 'node:net';
import { formatPointer, parsePointer, SpoolplankError } from '@spoolplank/shared';
import type { ErrorObject, ValidateFunction } from 'ajv';
import type { Finding } from '@spoolplank/shared';
import { TREE_SCHEMA } from './tree';
import type { SettingsTree } from './tree';
import { VM_SETTINGS_SCHEMA } from './vmSettings';
import type { VmAddress, VmSettings } from './vmSettings';

type ExplainError = (
  error: ErrorObject,
) => Pick<Finding, 'problem' | 'expected'> & { readonly pointer?: string };

/** Messages for operators, by the schema keyword that is violated. */
const EXPLANATIONS: Readonly<Record<string, ExplainError>> = {
  additionalProperties: ({ params, instancePath, parentSchema }) => ({
    pointer: `${instancePath}${formatPointer([String(params.additionalProperty)])}`,
    problem: 'unknown key',
    expected: `one of ${Object.keys((parentSchema?.properties ?? {}) as object).join(', ')}`,
  }),
  required: ({ params, instancePath }) => ({
    pointer: `${instancePath}${formatPointer([String(params.missingProperty)])}`,
    problem: 'missing',
    expected: 'a value',
  }),
  enum: ({ params }) => ({
    problem: 'not an allowed value',
    expected: `one of ${(params.allowedValues as readonly unknown[]).join(', ')}`,
  }),
  type: ({ params }) => ({ problem: 'wrong type', expected: String(params.type) }),
  pattern: ({ params }) => ({
    problem: 'wrong form',
    expected: `text matching ${String(params.pattern)}`,
  }),
  format: () => ({ problem: 'wrong form', expected: 'an IP address' }),
};

/** Keywords whose violation is always reported together with a more specific one. */
const REDUNDANT_KEYWORDS: ReadonlySet<string> = new Set(['if', 'propertyNames']);

function pointerOf({ instancePath, propertyName }: ErrorObject): string {
  return propertyName === undefined
    ? instancePath
    : `${instancePath}${formatPointer([propertyName])}`;
}

function toFinding(source: string, error: ErrorObject): Finding {
  const explain = EXPLANATIONS[error.keyword];
  const { pointer, problem, expected } = explain
    ? explain(error)
    : { pointer: undefined, problem: error.message ?? error.keyword, expected: undefined };
  return {
    source,
    pointer: pointer ?? pointerOf(error),
    problem,
    ...(expected ? { expected } : {}),
  };
}

function createValidator(schema: object): ValidateFunction {
  const ajv = new Ajv({ allErrors: true, verbose: true, strict: false });
  ajv.addFormat('ip', (text: string) => isIP(text) !== 0);
  return ajv.compile(schema);
}

const validators = new Map<object, ValidateFunction>();

function collectSchemaFindings(schema: object, value: unknown, source: string): readonly Finding[] {
  // Validators are compiled on first use, so that a daemon that never checks a tree saves the cost.
  const validate = validators.get(schema) ?? createValidator(schema);
  validators.set(schema, validate);
  if (validate(value)) return [];
  return (validate.errors ?? [])
    .filter(({ keyword }) => !REDUNDANT_KEYWORDS.has(keyword))
    .map((error) => toFinding(source, error));
}

function collectReferenceFindings(tree: SettingsTree, source: string): readonly Finding[] {
  const definedServices = new Set(Object.keys(tree.services ?? {}));
  return Object.entries(tree.organisations ?? {}).flatMap(([organisation, branch]) =>
    Object.keys(branch.services ?? {})
      .filter((service) => !definedServices.has(service))
      .map((service) => ({
        source,
        pointer: formatPointer(['organisations', organisation, 'services', service]),
        problem: 'refers to a service that is not defined',
        expected: definedServices.size
          ? `one of ${[...definedServices].join(', ')}`
          : 'a service under /services',
      })),
  );
}

/** Returns all findings of a settings tree; none if it can take effect. */
export function collectTreeFindings(value: unknown, source: string): readonly Finding[] {
  const findings = collectSchemaFindings(TREE_SCHEMA, value, source);
  return findings.length ? findings : collectReferenceFindings(value as SettingsTree, source);
}

/** Finds addresses that are listed for two VMs: a VM under two names would vote twice. */
function collectAddressFindings({ vm, peers }: VmSettings, source: string): readonly Finding[] {
  const owners = new Map<string, string>();
  const addressesOf = ({ host, callerPort, peerPort }: VmAddress) => [
    ...new Set([`${host}:${callerPort}`, `${host}:${peerPort}`]),
  ];
  addressesOf(vm).forEach((address) => owners.set(address, vm.vmId));
  return peers.flatMap((peer, index) =>
    addressesOf(peer).flatMap((address) => {
      const owner = owners.get(address);
      owners.set(address, peer.vmId);
      if (owner === undefined) return [];
      const problem = `${address} is also the address of ${owner}`;
      return [{ source, pointer: `/peers/${index}`, problem, expected: 'a unique address' }];
    }),
  );
}

function collectVmReferenceFindings(settings: VmSettings, source: string): readonly Finding[] {
  const findings: Finding[] = [];
  if (settings.vm.roles.includes('control') && !settings.dataFolder) {
    findings.push({
      source,
      pointer: '/dataFolder',
      problem: 'missing',
      expected: 'a folder, for the role control',
    });
  }
  const seenVmIds = new Set([settings.vm.vmId]);
  settings.peers.forEach(({ vmId }, index) => {
    if (seenVmIds.has(vmId)) {
      findings.push({
        source,
        pointer: `/peers/${index}/vmId`,
        problem: `the VM name ${vmId} is used twice`,
        expected: 'a unique name',
      });
    }
    seenVmIds.add(vmId);
  });
  findings.push(...collectAddressFindings(settings, source));
  const hasControl = [settings.vm, ...settings.peers].some(({ roles }) =>
    roles.includes('control'),
  );
  if (!hasControl) {
    findings.push({
      source,
      pointer: '/peers',
      problem: 'no VM has the role control',
      expected: 'at least one',
    });
  }
  return findings;
}

/** Returns all findings of the settings file of a VM. */
export function collectVmFindings(value: unknown, source: string): readonly Finding[] {
  const findings = collectSchemaFindings(VM_SETTINGS_SCHEMA, value, source);
  return findings.length ? findings : collectVmReferenceFindings(value as VmSettings, source);
}

/**
 * Parses JSON text.
 *
 * @throws SpoolplankError `invalid-settings` with one finding that states line and column.
 */
export function parseJson(text: string, source: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    const offset = Number(/position (\d+)/.exec(message)?.[1] ?? text.length);
    const linesBefore = text.slice(0, offset).split('\n');
    const position = `line ${linesBefore.length}, column ${(linesBefore.at(-1)?.length ?? 0) + 1}`;
    const finding: Finding = {
      source,
      pointer: '',
      problem: `not JSON at ${position}`,
      expected: 'a JSON document',
    };
    throw new SpoolplankError('invalid-settings', {
      detail: `${source}: ${position}`,
      findings: [finding],
      cause: error,
    });
  }
}

/** Whether a string is a valid JSON pointer; used to check edits. */
export function isTreePointer(pointer: string): boolean {
  return pointer === '' || (pointer.startsWith('/') && parsePointer(pointer).length > 0);
}
