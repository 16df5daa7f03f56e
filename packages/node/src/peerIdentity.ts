/** Authenticates what VMs send each other, with the shared key of the deployment. */
import type { IncomingMessage } from 'node:http';
import { SpoolplankError } from '@spoolplank/shared';
import { isEqualSecret, signMessage } from './tokens';

export interface PeerIdentity {
  readonly deployment: string;
  readonly vmId: string;
  readonly sharedKey: string;
}

const DEPLOYMENT_HEADER = 'spoolplank-deployment';
const SENDER_HEADER = 'spoolplank-vm';
const RECEIVER_HEADER = 'spoolplank-to';
const SIGNATURE_HEADER = 'spoolplank-signature';

/** Headers that authenticate a message to another VM. */
export function signedPeerHeaders(
  { deployment, vmId, sharedKey }: PeerIdentity,
  receiver: string,
  message: string,
): Readonly<Record<string, string>> {
  return {
    [DEPLOYMENT_HEADER]: deployment,
    [SENDER_HEADER]: vmId,
    [RECEIVER_HEADER]: receiver,
    [SIGNATURE_HEADER]: signMessage(sharedKey, [deployment, vmId, receiver, message]),
  };
}

function headerOf(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}

/**
 * Returns the VM that sent a message.
 *
 * @throws SpoolplankError `wrong-deployment` when the message is not signed for this VM.
 */
export function authenticatePeer(
  request: IncomingMessage,
  message: string,
  identity: PeerIdentity,
): string {
  const deployment = headerOf(request, DEPLOYMENT_HEADER);
  const sender = headerOf(request, SENDER_HEADER);
  const receiver = headerOf(request, RECEIVER_HEADER);
  const expected = signMessage(identity.sharedKey, [deployment, sender, receiver, message]);
  const isForThisVm = deployment === identity.deployment && receiver === identity.vmId;
  if (!isForThisVm || !isEqualSecret(expected, headerOf(request, SIGNATURE_HEADER))) {
    throw new SpoolplankError('wrong-deployment');
  }
  return sender;
}
