export { startVm } from './src/vm/vm';
export type { Vm } from './src/vm/vm';
