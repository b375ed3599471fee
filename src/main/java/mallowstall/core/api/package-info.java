/**
 * Requests of users: submissions, queries and cancellations of jobs (protocol, Users). Every answer
 * about a job rests on a write, a read made after the request came, or a final state.
 */
package mallowstall.core.api;
