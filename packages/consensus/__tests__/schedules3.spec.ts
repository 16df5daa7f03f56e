import { describeSchedules } from './schedules';

describeSchedules(3);
