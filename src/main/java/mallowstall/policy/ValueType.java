package mallowstall.policy;

/**
 * Types of expressions, which include the units. Only values of one type can be compared or added.
 */
enum ValueType {
  BOOLEAN("true or false"),
  TEXT("text"),
  NUMBER("a plain number"),
  SECONDS("a time"),
  GIGABYTES("an amount of memory"),
  CPUS("a number of cpus"),
  PRIORITY("a priority");

  private final String description;

  ValueType(String description) {
    this.description = description;
  }

  /** Returns the type in the form in which diagnostics name it. */
  String description() {
    return description;
  }

  /**
   * Returns whether values of this type are numbers. Priorities are numbers, but only for
   * comparisons and scores.
   */
  boolean isNumeric() {
    return this != BOOLEAN && this != TEXT;
  }

  /** Returns whether values of this type can be added and multiplied. */
  boolean isArithmetic() {
    return isNumeric() && this != PRIORITY;
  }
}
