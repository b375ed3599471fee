/**
 * The words of the core: jobs, machines, tasks, entries of the state service, heartbeats and the
 * messages between controllers. All types are records, enums or pure functions and nobody changes
 * what they hold.
 *
 * <p>The names of Java fields are free to change; what is stored or sent is named by the codecs of
 * the adapters. This is the lowest layer and holds no state. docs/design.md, "Keys in the state
 * service" and "What controllers tell each other", explains what the entries and messages are for.
 */
package mallowstall.core.model;
