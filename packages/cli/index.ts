export { createVmContext } from './src/vm/vmContext';
export { startVm } from './src/vm/vm';
export type { Vm } from './src/vm/vm';
export { createSessionStore } from './src/entry/sessionStore';
export { createStagePatience } from './src/entry/stagePatience';
export type { StagePatience } from './src/entry/stagePatience';
