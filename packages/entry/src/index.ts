/** The callers side: HTTP API, request lifecycle, streams and resume. */
export {};
