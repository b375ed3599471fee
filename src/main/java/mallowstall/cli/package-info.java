/**
 * The command line. Its commands start a controller, check a policy file, and run the warm-up of
 * the build. Exit codes are 0 for success, 1 for a failure and 2 for wrong usage; messages go to
 * standard error.
 */
package mallowstall.cli;
