/**
 * A group with changing VMs in virtual time: the replicas of a `MemoryCluster`, each with the
 * membership management that a control process runs.
 */
import {
  createGroupMembership,
  decideBootstrap,
  deriveElectionTimings,
  deriveMembershipLimits,
} from '..';
import type { GroupDescription, GroupMembership, FaultTolerance, MembershipAction } from '..';
import { MemoryCluster } from './memoryCluster';
import type { Node } from './memoryNode';

/** A VM of the group, with the state of its current process. */
export interface GroupVm {
  readonly node: Node;
  readonly dataCentre: string;
  /** Whether it has been removed permanently and never starts again. */
  isRemoved: boolean;
  isRunning: boolean;
  /** Whether its process has found its group and runs its replica. */
  hasJoinedGroup: boolean;
  membership: GroupMembership;
  /** Times of its process's next membership step and replica tick. */
  nextStepMs: number;
  nextTickMs: number;
}

export interface MemoryGroupOptions {
  readonly seed: number;
  readonly size: number;
  readonly faultTolerance: FaultTolerance;
  /** Number of data centres over which the initial VMs are spread. */
  readonly dataCentres: number;
}

/** The same interval as in a control process. */
const STEP_MS = 100;
const TICK_MS = 50;
/** One in this many role changes overlaps with other timers, without delivery in between. */
const TICKS_PER_OVERLAP = 4;
/** The reply of a VM without a disk to a VM that searches for its group. */
const DISKLESS_VM: GroupDescription = { replicaId: null, configuration: null };
/** Large enough for a whole snapshot in one message, as in production. */
const CHUNK_LENGTH = 100_000;
/** The duration of a turn varies between these, so that the replicas' timers do not coincide. */
const MIN_TURN_MS = 10;
const MAX_TURN_MS = 40;
/** Per turn, one message is lost with a probability of its queue length divided by this. */
const MESSAGES_PER_LOSS = 200;
const PROPOSAL_INTERVAL_MS = 200;

export class MemoryGroup {
  readonly cluster: MemoryCluster;

  readonly vms: GroupVm[];

  readonly #faultTolerance: FaultTolerance;

  #nextProposalMs = 0;

  #count: number;

  constructor({ seed, size, faultTolerance, dataCentres }: MemoryGroupOptions) {
    this.#faultTolerance = faultTolerance;
    this.cluster = new MemoryCluster({
      seed,
      size,
      snapshotEvery: 9,
      timings: deriveElectionTimings(faultTolerance),
      chunkLength: CHUNK_LENGTH,
    });
    this.#count = size;
    this.vms = this.cluster.nodes.map((node, index) =>
      this.#createVm(node, `dc${index % dataCentres}`),
    );
    this.vms.forEach((vm) => {
      vm.isRunning = true;
      vm.hasJoinedGroup = true;
    });
  }

  get nowMs(): number {
    return this.cluster.nowMs;
  }

  #createVm(node: Node, dataCentre: string): GroupVm {
    return {
      node,
      dataCentre,
      isRemoved: false,
      isRunning: false,
      hasJoinedGroup: false,
      membership: this.#createMembership(node),
      nextStepMs: this.cluster.nowMs + this.cluster.random.nextInt(STEP_MS),
      nextTickMs: this.cluster.nowMs + this.cluster.random.nextInt(TICK_MS),
    };
  }

  #createMembership(node: Node): GroupMembership {
    const clock = {
      nowMs: () => this.cluster.nowMs,
      steadyMs: () => this.cluster.nowMs,
      wallMs: () => 0,
    };
    return createGroupMembership({
      clock,
      replicaId: node.id,
      limits: deriveMembershipLimits(this.#faultTolerance),
      dataCentreOf: (id) => this.vms.find((vm) => vm.node.id === id)?.dataCentre,
    });
  }

  /** Whether a VM can currently send and receive messages. */
  static #isReachable(vm: GroupVm): boolean {
    const { isFrozen, isPartitioned, isInboundBlocked, isOutboundBlocked } = vm.node;
    return vm.isRunning && !isFrozen && !isPartitioned && !isInboundBlocked && !isOutboundBlocked;
  }

  static #describe({ node, hasJoinedGroup }: GroupVm): GroupDescription {
    const configuration = hasJoinedGroup ? node.replica?.status().configuration : undefined;
    const isKnown = configuration !== undefined && configuration.voters.length > 0;
    return { replicaId: node.id, configuration: isKnown ? configuration : null };
  }

  #others(vm: GroupVm): readonly GroupVm[] {
    return this.vms.filter((other) => other !== vm && !other.isRemoved);
  }

  #findGroup(vm: GroupVm): void {
    const others = this.#others(vm).map((other) =>
      MemoryGroup.#isReachable(other) ? MemoryGroup.#describe(other) : undefined,
    );
    const { kind } = decideBootstrap({ self: vm.node.id, others: [...others, DISKLESS_VM] });
    if (kind === 'wait' || kind === 'found') return;
    this.cluster.start(vm.node);
    vm.hasJoinedGroup = true;
  }

  /** Reachable VMs whose replica currently claims a valid leader lease. */
  #leaders(vm: GroupVm): readonly GroupVm[] {
    if (!MemoryGroup.#isReachable(vm)) return [];
    return this.#others(vm)
      .filter((other) => MemoryGroup.#isReachable(other) && other.hasJoinedGroup)
      .filter((other) => other.node.replica?.canRead());
  }

  #askToJoin(vm: GroupVm): void {
    const request = { replicaId: vm.node.id, dataCentre: vm.dataCentre };
    this.#leaders(vm).forEach(({ membership }) => membership.recordJoin(request));
  }

  /** Runs the periodic membership step of a VM's process. */
  #step(vm: GroupVm): void {
    if (!vm.hasJoinedGroup) {
      if (MemoryGroup.#isReachable(vm)) this.#findGroup(vm);
      return;
    }
    const { node, membership } = vm;
    const status = node.replica?.status();
    const action = status && membership.next(status);
    if (action) this.#act(vm, action);
  }

  #act(vm: GroupVm, action: MembershipAction): void {
    const { replica } = vm.node;
    if (action.kind === 'ask-to-join') this.#askToJoin(vm);
    else if (action.kind === 'ask-to-leave') this.#askToLeave(vm);
    else if (action.kind === 'hand-over') replica?.transferLeadership(action.successor);
    else replica?.proposeConfiguration(action.change);
  }

  #askToLeave(vm: GroupVm): void {
    this.#leaders(vm).forEach(({ membership }) => {
      membership.recordLeave(vm.node.id);
      vm.membership.confirmLeave();
    });
  }

  /** Adds and starts a new VM with an empty disk. */
  addVm(dataCentre: string): GroupVm {
    this.#count += 1;
    const vm = this.#createVm(this.cluster.addBlank(`vm${this.#count}`), dataCentre);
    this.vms.push(vm);
    this.start(vm);
    return vm;
  }

  /** Starts the process of a stopped VM. */
  start(vm: GroupVm): void {
    if (vm.isRemoved || vm.isRunning) return;
    const { node } = vm;
    vm.isRunning = true;
    vm.membership = this.#createMembership(node);
    const isBlank = node.disk.snapshot === null && node.disk.entries.length === 0;
    vm.hasJoinedGroup = !isBlank;
    if (!isBlank) this.cluster.start(node);
  }

  /** Requests the shutdown of a process; returns whether it has nothing left to hand over. */
  static tryShutDown(vm: GroupVm): boolean {
    vm.membership.beginLeaving();
    vm.node.replica?.deferElections();
    const status = vm.node.replica?.status();
    return !status || !vm.membership.mustDelayShutdown(status);
  }

  /** Cuts the power of a VM. */
  stop(vm: GroupVm): void {
    this.cluster.unfreeze(vm.node);
    this.cluster.crash(vm.node);
    vm.isRunning = false;
    vm.hasJoinedGroup = false;
  }

  /** Removes a VM permanently. */
  remove(vm: GroupVm): void {
    this.stop(vm);
    vm.isRemoved = true;
  }

  loseDisk(vm: GroupVm): void {
    this.stop(vm);
    this.cluster.loseDisk(vm.node);
  }

  /** The reachable VM whose replica can serve reads as leader. */
  confirmedLeader(): GroupVm | undefined {
    return this.vms.find((vm) => {
      const { replica, appliedIndex } = vm.node;
      const isApplied = (replica?.status().commitIndex ?? 0) <= appliedIndex;
      return MemoryGroup.#isReachable(vm) && isApplied && replica?.canRead();
    });
  }

  /** Ticks each replica at the times of its own process. */
  #tick(): void {
    this.vms
      .filter(({ node }) => node.replica && !node.isFrozen)
      .filter((vm) => this.nowMs >= vm.nextTickMs)
      .forEach((vm) => {
        vm.nextTickMs = this.nowMs + TICK_MS;
        const roleBefore = vm.node.replica?.status().role;
        vm.node.replica?.tick();
        const isChanged = vm.node.replica?.status().role !== roleBefore;
        // Messages usually arrive before the next timer fires, but not always.
        if (isChanged && this.cluster.random.nextInt(TICKS_PER_OVERLAP) > 0) this.cluster.runTurn();
      });
  }

  #loseSomeMessages(): void {
    const { network, random } = this.cluster;
    const index = random.nextInt(MESSAGES_PER_LOSS);
    if (index < network.length) network.splice(index, 1);
  }

  #propose(): void {
    if (this.nowMs < this.#nextProposalMs) return;
    this.#nextProposalMs = this.nowMs + PROPOSAL_INTERVAL_MS;
    const leader = this.confirmedLeader();
    if (leader) this.cluster.propose(leader.node);
  }

  /** Advances time and runs everything that is due. */
  run(durationMs: number): void {
    const endsAtMs = this.nowMs + durationMs;
    while (this.nowMs < endsAtMs) {
      const { random } = this.cluster;
      this.cluster.advance(MIN_TURN_MS + random.nextInt(MAX_TURN_MS - MIN_TURN_MS));
      this.#tick();
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

  /** Runs until a leader is confirmed; returns the time taken, or null if the limit is exceeded. */
  runUntilConfirmed(limitMs: number): number | null {
    const startedAtMs = this.nowMs;
    while (this.nowMs - startedAtMs <= limitMs) {
      if (this.confirmedLeader()) return this.nowMs - startedAtMs;
      this.run(MIN_TURN_MS);
    }
    return null;
  }
}
