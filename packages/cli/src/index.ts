/** The sassafrascleat command-line program. */
export {};
