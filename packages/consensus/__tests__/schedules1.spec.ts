import { describeSchedules } from './schedules';

describeSchedules(1);
