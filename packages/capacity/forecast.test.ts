import t from 'tap';
import {DemandForecast} from './forecast.ts';

t.test('a rising demand is met ahead of time', async t => {
	const forecast = new DemandForecast();
	for (let second = 0; second <= 20; second++) {
		forecast.add(second * 1000, second * 2);
	}

	t.ok(forecast.estimate() > 44, `${forecast.estimate()}`);
});

t.test('the peak of the window holds, then falls', async t => {
	const forecast = new DemandForecast({holdMs: 60_000});
	forecast.add(0, 50);
	forecast.add(30_000, 1);
	t.ok(forecast.estimate() >= 50);
	for (let second = 31; second <= 130; second++) {
		forecast.add(second * 1000, 1);
	}

	t.ok(forecast.estimate() < 5, `${forecast.estimate()}`);
});
