import t from 'tap';
import {DemandForecast} from './forecast.ts';

t.test('projects a rising demand', async t => {
	const forecast = new DemandForecast();
	for (let second = 0; second <= 20; second++) {
		forecast.record(second * 1000, second * 2);
	}

	t.ok(forecast.estimate() > 44, `${forecast.estimate()}`);
});

t.test('keeps a peak for the window, then drops it', async t => {
	const forecast = new DemandForecast({peakWindowMs: 60_000});
	forecast.record(0, 50);
	forecast.record(30_000, 1);
	t.ok(forecast.estimate() >= 50);
	for (let second = 31; second <= 130; second++) {
		forecast.record(second * 1000, 1);
	}

	t.ok(forecast.estimate() < 5, `${forecast.estimate()}`);
});
