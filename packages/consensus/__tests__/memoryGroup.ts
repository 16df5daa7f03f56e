/**
 * A group whose VMs come and go, in virtual time: replicas as in `MemoryCluster`, and beside each
 * of them what decides on the members of the group, called as a control process calls it.
 */
import { createGroupMembership, decideBootstrap, vmOfReplica } from '..';
import type { GroupDescription, GroupMembership, Message } from '..';
import { MemoryCluster } from './memoryCluster';
import type { Node } from './memoryNode';

/** A VM of the group, with one life of its process. */
export interface GroupVm {
  readonly node: Node;
  /** Gone for good: it never starts again. */
  isGone: boolean;
  isRunning: boolean;
  /** Whether its process knows its group and runs its replica. */
  isTakingPart: boolean;
  membership: GroupMembership;
  wasLeader: boolean;
  /** When its process looks at its group next. */
  nextStepMs: number;
}

export interface MemoryGroupOptions {
  readonly seed: number;
  readonly size: number;
}

/** As the platform's group of documents has them. */
const TIMINGS = { electionTimeoutMs: 700, heartbeatIntervalMs: 200 };
const STEP_MS = 250;
/** A turn takes between these, so that the replicas' timers do not fall together. */
const MIN_TURN_MS = 10;
const MAX_TURN_MS = 40;
/** Of so many messages one is lost. */
const LOSS_OF = 200;
const PROPOSAL_INTERVAL_MS = 200;

export class MemoryGroup {
  readonly cluster: MemoryCluster;

  readonly vms: GroupVm[];

  #nextProposalMs = 0;

  #count: number;

  constructor({ seed, size }: MemoryGroupOptions) {
    this.cluster = new MemoryCluster({
      seed,
      size,
      snapshotEvery: 9,
      timings: TIMINGS,
      onArrival: (message) => this.#noteArrival(message),
    });
    this.#count = size;
    this.vms = this.cluster.nodes.map((node) => this.#createVm(node));
    this.vms.forEach((vm) => {
      vm.isRunning = true;
      vm.isTakingPart = true;
    });
  }

  get nowMs(): number {
    return this.cluster.nowMs;
  }

  #createVm(node: Node): GroupVm {
    return {
      node,
      isGone: false,
      isRunning: false,
      isTakingPart: false,
      membership: this.#createMembership(node),
      wasLeader: false,
      nextStepMs: this.cluster.nowMs + this.cluster.random.nextInt(STEP_MS),
    };
  }

  #createMembership(node: Node): GroupMembership {
    const clock = {
      nowMs: () => this.cluster.nowMs,
      steadyMs: () => this.cluster.nowMs,
      wallMs: () => 0,
    };
    return createGroupMembership({ clock, replicaId: node.id });
  }

  /** Whether two VMs reach each other both ways now. */
  static #isReachable(vm: GroupVm): boolean {
    const { isFrozen, isCut, isDeaf, isMute } = vm.node;
    return vm.isRunning && !isFrozen && !isCut && !isDeaf && !isMute;
  }

  /** A process counts messages as delivered when the VM that they are for takes them. */
  #noteArrival({ from, to }: Message): void {
    const host = vmOfReplica(to);
    const target = this.vms.find(({ node }) => node.vmId === host);
    const sender = this.vms.find(({ node }) => node.id === from);
    if (target?.isRunning) sender?.membership.noteDelivered(host);
  }

  static #describe({ node, isTakingPart }: GroupVm): GroupDescription {
    const configuration = isTakingPart ? node.replica?.status().configuration : undefined;
    const isKnown = configuration !== undefined && configuration.voters.length > 0;
    return { replicaId: node.id, configuration: isKnown ? configuration : null };
  }

  #others(vm: GroupVm): readonly GroupVm[] {
    return this.vms.filter((other) => other !== vm && !other.isGone);
  }

  #findGroup(vm: GroupVm): void {
    const others = this.#others(vm).map((other) =>
      MemoryGroup.#isReachable(other) ? MemoryGroup.#describe(other) : undefined,
    );
    const { kind } = decideBootstrap({ self: vm.node.id, others });
    if (kind === 'wait' || kind === 'found') return;
    this.cluster.start(vm.node);
    vm.isTakingPart = true;
  }

  #askToJoin(vm: GroupVm): void {
    this.#others(vm)
      .filter((other) => MemoryGroup.#isReachable(other) && other.isTakingPart)
      .filter((other) => other.node.replica?.canRead())
      .forEach((other) => other.membership.noteJoin(vm.node.id));
  }

  /** What the process of a VM does for its group every so often. */
  #step(vm: GroupVm): void {
    if (!vm.isTakingPart) {
      if (MemoryGroup.#isReachable(vm)) this.#findGroup(vm);
      return;
    }
    const { node, membership } = vm;
    const status = node.replica?.status();
    if (!status) return;
    const isLeader = status.role === 'leader';
    if (isLeader && !vm.wasLeader) membership.beginLead();
    vm.wasLeader = isLeader;
    if (isLeader) {
      const change = membership.nextChange(status);
      if (change) node.replica?.proposeConfiguration(change);
      return;
    }
    membership.endLead();
    const isVoter = status.configuration.voters.includes(node.id);
    if (!isVoter && MemoryGroup.#isReachable(vm)) this.#askToJoin(vm);
  }

  /** Adds a VM at an address of its own, with a blank disk. */
  addVm(): GroupVm {
    this.#count += 1;
    const vm = this.#createVm(this.cluster.addBlank(`vm${this.#count}`));
    this.vms.push(vm);
    this.start(vm);
    return vm;
  }

  /** Starts the process of a VM that is off. */
  start(vm: GroupVm): void {
    if (vm.isGone || vm.isRunning) return;
    const { node } = vm;
    vm.isRunning = true;
    vm.wasLeader = false;
    vm.membership = this.#createMembership(node);
    const isBlank = node.disk.snapshot === null && node.disk.entries.length === 0;
    vm.isTakingPart = !isBlank;
    if (!isBlank) this.cluster.start(node);
  }

  /** Takes the power from a VM. */
  stop(vm: GroupVm): void {
    this.cluster.thaw(vm.node);
    this.cluster.crash(vm.node);
    vm.isRunning = false;
    vm.isTakingPart = false;
  }

  /** Takes a VM away for good. */
  remove(vm: GroupVm): void {
    this.stop(vm);
    vm.isGone = true;
  }

  loseDisk(vm: GroupVm): void {
    this.stop(vm);
    this.cluster.loseDisk(vm.node);
  }

  /** The VM whose replica leads and may read now. */
  confirmedLeader(): GroupVm | undefined {
    return this.vms.find((vm) => MemoryGroup.#isReachable(vm) && vm.node.replica?.canRead());
  }

  #loseSomeMessages(): void {
    const { network, random } = this.cluster;
    const index = random.nextInt(LOSS_OF);
    if (index < network.length) network.splice(index, 1);
  }

  #propose(): void {
    if (this.nowMs < this.#nextProposalMs) return;
    this.#nextProposalMs = this.nowMs + PROPOSAL_INTERVAL_MS;
    const leader = this.confirmedLeader();
    if (leader) this.cluster.propose(leader.node);
  }

  /** Lets time pass, and everything happen that is due. */
  run(durationMs: number): void {
    const endsAtMs = this.nowMs + durationMs;
    while (this.nowMs < endsAtMs) {
      const { random } = this.cluster;
      this.cluster.advance(MIN_TURN_MS + random.nextInt(MAX_TURN_MS - MIN_TURN_MS));
      this.cluster.tick();
      this.vms
        .filter((vm) => vm.isRunning && !vm.node.isFrozen && this.nowMs >= vm.nextStepMs)
        .forEach((vm) => {
          vm.nextStepMs = this.nowMs + STEP_MS;
          this.#step(vm);
        });
      this.#propose();
      this.#loseSomeMessages();
      this.cluster.runTurn();
      this.cluster.checkInvariants();
    }
  }

  /** Lets time pass until a leader is confirmed; returns how long that took, or null. */
  runUntilConfirmed(limitMs: number): number | null {
    const startedAtMs = this.nowMs;
    while (this.nowMs - startedAtMs <= limitMs) {
      if (this.confirmedLeader()) return this.nowMs - startedAtMs;
      this.run(MIN_TURN_MS);
    }
    return null;
  }
}
