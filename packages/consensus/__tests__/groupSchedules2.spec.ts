import { describeGroupSchedules } from './groupSchedules';

describeGroupSchedules(2);
