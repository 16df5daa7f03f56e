import { describeGroupSchedules } from './groupSchedules';

describeGroupSchedules(4);
