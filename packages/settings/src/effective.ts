import { formatPointer } from '@spoolplank/shared';
import { DEFAULT_POLICY } from './policy';
import type { Policy } from './policy';
import type { SettingsTree } from './tree';

/** A place in the tree; each level needs the ones before it. */
export interface BranchPath {
  readonly organisation?: string;
  readonly service?: string;
  readonly pipeline?: string;
  readonly backendServer?: string;
}

/** A policy with every value resolved, and where each value came from. */
export interface EffectivePolicy {
  readonly policy: Policy;
  /** JSON pointer of the branch that set the value, or `default`. */
  readonly origins: Readonly<Record<keyof Policy, string>>;
}

interface Layer {
  readonly origin: string;
  readonly policy: Partial<Policy> | undefined;
}

type Services = Readonly<
  Record<
    string,
    {
      readonly policy?: Partial<Policy>;
      readonly pipelines?: Readonly<
        Record<
          string,
          {
            readonly policy?: Partial<Policy>;
            readonly backendServers?: Readonly<
              Record<string, { readonly policy?: Partial<Policy> }>
            >;
          }
        >
      >;
    }
  >
>;

function collectServiceLayers(
  prefix: readonly string[],
  services: Services | undefined,
  path: BranchPath,
): readonly Layer[] {
  if (path.service === undefined) return [];
  const service = services?.[path.service];
  const at = [...prefix, 'services', path.service];
  const layers: Layer[] = [{ origin: formatPointer(at), policy: service?.policy }];
  if (path.pipeline === undefined) return layers;
  const pipeline = service?.pipelines?.[path.pipeline];
  const pipelineAt = [...at, 'pipelines', path.pipeline];
  layers.push({ origin: formatPointer(pipelineAt), policy: pipeline?.policy });
  if (path.backendServer === undefined) return layers;
  layers.push({
    origin: formatPointer([...pipelineAt, 'backendServers', path.backendServer]),
    policy: pipeline?.backendServers?.[path.backendServer]?.policy,
  });
  return layers;
}

/** The layers that decide a branch, the most general first; see docs/design/settings.md. */
function collectLayers(tree: SettingsTree, path: BranchPath): readonly Layer[] {
  const layers: Layer[] = [{ origin: '', policy: tree.policy }];
  layers.push(...collectServiceLayers([], tree.services, path));
  if (path.organisation === undefined) return layers;
  const organisation = tree.organisations?.[path.organisation];
  const at = ['organisations', path.organisation];
  layers.push({ origin: formatPointer(at), policy: organisation?.policy });
  layers.push(...collectServiceLayers(at, organisation?.services, path));
  return layers;
}

/** Resolves the policy of a branch: the nearest branch that sets a value decides it. */
export function resolvePolicy(tree: SettingsTree, path: BranchPath): EffectivePolicy {
  const policy: Record<string, unknown> = { ...DEFAULT_POLICY };
  const origins: Record<string, string> = {};
  Object.keys(DEFAULT_POLICY).forEach((key) => {
    origins[key] = 'default';
  });
  collectLayers(tree, path).forEach((layer) => {
    Object.entries(layer.policy ?? {}).forEach(([key, value]) => {
      policy[key] = value;
      origins[key] = layer.origin === '' ? '/' : layer.origin;
    });
  });
  return {
    policy: policy as unknown as Policy,
    origins: origins as Readonly<Record<keyof Policy, string>>,
  };
}
