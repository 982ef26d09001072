/** Numbers and names of the command-line tool. */

/** Time to an answer, in milliseconds; longer than a daemon tries. */
export const ANSWER_TIMEOUT_MS = 20_000;

/** Time to open a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 5_000;

/** Environment variable with the address of an entry's operator listener. */
export const ENDPOINT_VARIABLE = "SASSAFRASCLEAT_ENDPOINT";

/** Environment variable that holds the operator secret unless one is named. */
export const SECRET_VARIABLE = "SASSAFRASCLEAT_SECRET";

/** Longest value that a table shows, in characters. */
export const MAX_CELL_CHARS = 100;
