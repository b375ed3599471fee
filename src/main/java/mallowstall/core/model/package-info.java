/**
 * The data types of the core: jobs, machines, tasks, entries of the state service, heartbeats and
 * the messages between controllers. All types are records, enums or pure functions, and the values
 * that they hold are never modified.
 *
 * <p>The names of Java fields may change, because the codecs of the adapters define the names in
 * stored and sent data. This is the lowest layer and holds no state. docs/design.md, "Keys in the
 * state service" and "What controllers tell each other", explains the purpose of the entries and
 * messages.
 */
package mallowstall.core.model;
