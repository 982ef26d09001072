/** Solves small systems of linear equations, to split a cost by its causes. */

/** One equation: `coefficients` times the unknowns, added up, is `total`. */
export interface Equation {
  coefficients: number[];
  total: number;
}

/**
 * Solves as many equations as there are unknowns by Gauss-Jordan elimination.
 * Returns undefined if the system is singular.
 */
export function solveLinear(
  equations: readonly Equation[],
): number[] | undefined {
  const rows = equations.map((
    { coefficients, total },
  ) => [...coefficients, total]);
  const size = rows.length;
  for (let column = 0; column < size; column++) {
    const pivot = pivotRow(rows, column);
    if (pivot === undefined) return undefined;
    [rows[column], rows[pivot]] = [rows[pivot]!, rows[column]!];
    for (let row = 0; row < size; row++) {
      if (row !== column) eliminate(rows[row]!, rows[column]!, column);
    }
  }
  return rows.map((row, index) => row[size]! / row[index]!);
}

function pivotRow(rows: number[][], column: number): number | undefined {
  let best: number | undefined;
  for (let row = column; row < rows.length; row++) {
    const value = Math.abs(rows[row]![column]!);
    if (value < 1e-9) continue;
    if (best === undefined || value > Math.abs(rows[best]![column]!)) {
      best = row;
    }
  }
  return best;
}

function eliminate(row: number[], pivot: number[], column: number): void {
  const factor = row[column]! / pivot[column]!;
  for (let index = column; index < row.length; index++) {
    row[index]! -= factor * pivot[index]!;
  }
}
