/**
 * The command line: serving, checking a policy file, and the build's warm-up. Exit codes are 0 for
 * success, 1 for a failure and 2 for wrong usage; messages go to standard error.
 */
package mallowstall.cli;
