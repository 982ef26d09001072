/** The process beside a backend server: ledgers, streams, drain and order fencing. */
export {};
