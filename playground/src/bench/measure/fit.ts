/** Line fitting, quantiles and rounding for measured values. */

/** One measured point. */
export interface Point {
  x: number;
  y: number;
}

/** A line `intercept + slope * x`. */
export interface Line {
  slope: number;
  intercept: number;
}

/** Fits a least-squares line; one point or equal x give a horizontal line. */
export function fitLine(points: readonly Point[]): Line {
  const count = points.length;
  const meanX = points.reduce((sum, p) => sum + p.x, 0) / count;
  const meanY = points.reduce((sum, p) => sum + p.y, 0) / count;
  let xy = 0;
  let xx = 0;
  for (const { x, y } of points) {
    xy += (x - meanX) * (y - meanY);
    xx += (x - meanX) ** 2;
  }
  const slope = xx === 0 ? 0 : xy / xx;
  return { slope, intercept: meanY - slope * meanX };
}

/** The quantile of `values` at `rank`, a fraction of 1; 0 without values. */
export function quantile(values: readonly number[], rank: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(sorted.length - 1, Math.floor(rank * sorted.length));
  return sorted[index] ?? 0;
}

/** Rounds to `digits` significant digits, for printing. */
export function roundToSignificantDigits(value: number, digits = 4): number {
  return value === 0 ? 0 : Number(value.toPrecision(digits));
}
