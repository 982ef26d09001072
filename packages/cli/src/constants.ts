/** Constants of the command-line tool. */

/** Timeout of a call, in milliseconds; longer than the daemon's own limit. */
export const ANSWER_TIMEOUT_MS = 20_000;

/** Timeout for opening a connection, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 5_000;

/** Environment variable with the address of an entry's operator listener. */
export const ENDPOINT_VARIABLE = "SASSAFRASCLEAT_ENDPOINT";

/** Default environment variable that holds the operator secret. */
export const SECRET_VARIABLE = "SASSAFRASCLEAT_SECRET";

/** Maximum length of a table cell, in characters. */
export const MAX_CELL_CHARS = 100;
