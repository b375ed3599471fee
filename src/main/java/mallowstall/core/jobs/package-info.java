/**
 * The jobs that this controller leads: which they are, where their tasks may be, which tasks have
 * completed, and when an ended replica may start again.
 *
 * <p>{@link mallowstall.core.jobs.JobLeader} is the entry of the package for events and for the
 * modules above it; each other class does one part. All of it runs on the event thread of the core.
 * Times are in ms of the steady clock unless a name says otherwise. What a leader may do is in the
 * protocol, Leases and Starts; the design is in docs/design.md.
 */
package mallowstall.core.jobs;
