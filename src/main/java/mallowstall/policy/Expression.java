package mallowstall.policy;

import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import mallowstall.core.placement.Policy.Facts;

/**
 * A typed expression that is compiled to closures over {@link Facts}. An expression contains no
 * loops and no recursion, so its evaluation always ends. It works on doubles and booleans, so its
 * evaluation neither throws nor allocates.
 */
sealed interface Expression {
  /** Returns the type of the value, which includes its unit. */
  ValueType type();

  /** Returns whether the expression reads no fact, so that its value never changes. */
  boolean constant();

  /** An expression whose value is true or false. */
  record BooleanExpression(Predicate<Facts> value, boolean constant) implements Expression {
    @Override
    public ValueType type() {
      return ValueType.BOOLEAN;
    }
  }

  /** An expression whose value is a number, with or without a unit. */
  record NumberExpression(ValueType type, ToDoubleFunction<Facts> value, boolean constant)
      implements Expression {}

  /** An expression whose value is a text. */
  record TextExpression(TextFunction value, boolean constant) implements Expression {
    @Override
    public ValueType type() {
      return ValueType.TEXT;
    }
  }

  /** Reads a text from the facts. */
  interface TextFunction {
    /** Returns the text, or null if the fact is unknown. */
    String apply(Facts facts);
  }

  /** Returns a condition that reads facts. */
  static Expression fact(Predicate<Facts> value) {
    return new BooleanExpression(value, false);
  }

  /** Returns a numeric expression that reads facts. */
  static Expression fact(ValueType type, ToDoubleFunction<Facts> value) {
    return new NumberExpression(type, value, false);
  }

  /** Returns a text expression that reads facts. */
  static Expression textFact(TextFunction value) {
    return new TextExpression(value, false);
  }

  /** Returns a condition that is always true or always false. */
  static BooleanExpression literal(boolean value) {
    return new BooleanExpression(facts -> value, true);
  }

  /** Returns a numeric expression with a constant value. */
  static NumberExpression literal(ValueType type, double value) {
    return new NumberExpression(type, facts -> value, true);
  }

  /** Returns a text expression with a constant value. */
  static TextExpression literal(String value) {
    return new TextExpression(facts -> value, true);
  }
}
