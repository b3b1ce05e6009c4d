export interface Point {
  readonly x: number;
  readonly y: number;
}

export interface StraightLine {
  readonly slope: number;
  readonly intercept: number;
  /** Largest distance of a point from the line. */
  readonly residual: number;
}

/** The line of least squares; needs two points with different x. */
export function fitStraightLine(points: readonly Point[]): StraightLine {
  const meanX = mean(points.map(point => point.x));
  const meanY = mean(points.map(point => point.y));
  let products = 0;
  let squares = 0;
  for (const {x, y} of points) {
    products += (x - meanX) * (y - meanY);
    squares += (x - meanX) ** 2;
  }
  const slope = products / squares;
  const intercept = meanY - slope * meanX;
  const distances = points.map(({x, y}) => Math.abs(y - intercept - slope * x));
  return {slope, intercept, residual: Math.max(...distances)};
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
