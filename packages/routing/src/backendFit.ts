/** Checks the announcement of a backend server against the routing document in force. */
import type { RoutingDocument } from './routingDocument';

/** The announced properties that are checked against the document. */
export interface AnnouncedBackend {
  readonly service: string;
  readonly engine?: {
    readonly acceleratorKind: string;
    readonly held: { readonly firstLayer: number; readonly endLayer: number } | null;
  };
}

/** Returns why an announcement contradicts the document; null when it is consistent. */
export function findDocumentConflict(
  stated: AnnouncedBackend,
  document: RoutingDocument,
): string | null {
  const service = document.services.find(({ name }) => name === stated.service);
  if (!service) return 'its service is not in the document';
  const { model } = service;
  if (!model) return null;
  if (!stated.engine) return 'it is not an engine, which its service requires';
  const { acceleratorKind, held } = stated.engine;
  const kind = model.kinds.find(({ name }) => name === acceleratorKind);
  if (!kind) return 'its accelerator kind is not in the document';
  if (!held) return null;
  if (held.endLayer > model.layers) return 'it holds layers that the model does not have';
  const heldMb = (held.endLayer - held.firstLayer) * model.layerMb;
  return heldMb > kind.memoryMb ? 'its layers exceed the memory of its accelerator kind' : null;
}
