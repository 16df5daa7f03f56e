import { describeGroupSchedules } from './groupSchedules';

describeGroupSchedules(3);
