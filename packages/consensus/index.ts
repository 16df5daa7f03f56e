export * from './src/configuration';
export * from './src/groupFounding';
export * from './src/groupMembership';
export * from './src/groupRunner';
export * from './src/messages';
export * from './src/replica';
export * from './src/storage';
export type { ReplicaRole, ReplicaTimings, VoteDenial, VoteDenialReason } from './src/replicaState';
