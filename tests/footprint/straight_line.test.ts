import test from 'ava';
import {fitStraightLine} from '../../bench/footprint/straight_line.js';

test('should find the line through points that lie on it', t => {
  const points = [0, 10, 20].map(x => ({x, y: 3 + x / 2}));
  const line = fitStraightLine(points);
  t.deepEqual(line, {slope: 0.5, intercept: 3, residual: 0});
});

test('should tell how far the points lie from the line', t => {
  const points = [
    {x: 0, y: 0},
    {x: 1, y: 3},
    {x: 2, y: 0},
  ];
  const line = fitStraightLine(points);
  t.deepEqual(line, {slope: 0, intercept: 1, residual: 2});
});
