import { describeSchedules } from './schedules';

describeSchedules(4);
