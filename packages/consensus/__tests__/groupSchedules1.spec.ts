import { describeGroupSchedules } from './groupSchedules';

describeGroupSchedules(1);
