package mallowstall.policy;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.DoubleBinaryOperator;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import mallowstall.core.placement.Policy.Facts;
import mallowstall.policy.Expression.BooleanExpression;
import mallowstall.policy.Expression.NumberExpression;
import mallowstall.policy.Expression.TextExpression;
import mallowstall.policy.Expression.TextFunction;
import mallowstall.policy.Token.Kind;

/**
 * Parses and type-checks expressions by recursive descent, with one method for each rule of the
 * grammar (docs/policies.md). Not thread-safe.
 */
final class ExpressionParser {
  /** Maximum nesting depth of one expression. The limit bounds the parser's own stack. */
  private static final int MAX_DEPTH = 60;

  private final TokenStream tokens;
  private final Diagnostics diagnostics;
  private int depth;

  /**
   * Creates a parser that reads from {@code tokens}. The parser adds warnings to {@code
   * diagnostics} and throws errors.
   */
  ExpressionParser(TokenStream tokens, Diagnostics diagnostics) {
    this.tokens = tokens;
    this.diagnostics = diagnostics;
  }

  /**
   * Parses one whole expression.
   *
   * @throws PolicySyntaxException at the first token with a syntax error or a type error
   */
  Expression parse() throws PolicySyntaxException {
    depth = 0;
    return nested();
  }

  /**
   * Returns the expression as a condition.
   *
   * @param start first token of the expression, at which an error is reported
   * @param construct keyword or property that requires a condition, as the error names it
   * @throws PolicySyntaxException if the expression isn't a condition
   */
  static BooleanExpression requireBoolean(Token start, Expression expression, String construct)
      throws PolicySyntaxException {
    if (expression instanceof BooleanExpression condition) {
      return condition;
    }
    throw new PolicySyntaxException(
        start,
        construct
            + " needs "
            + ValueType.BOOLEAN.description()
            + " but this is "
            + expression.type().description());
  }

  private void enter(Token token) throws PolicySyntaxException {
    if (++depth > MAX_DEPTH) {
      throw new PolicySyntaxException(token, "this expression is nested too deeply");
    }
  }

  /** Parses an {@code expr} that is nested one level deeper. */
  private Expression nested() throws PolicySyntaxException {
    enter(tokens.peek());
    Expression expression = disjunction();
    depth--;
    return expression;
  }

  private Expression disjunction() throws PolicySyntaxException {
    Token start = tokens.peek();
    Expression left = conjunction();
    while (tokens.peek().is("or")) {
      tokens.next();
      Token rightStart = tokens.peek();
      BooleanExpression first = requireBoolean(start, left, "or");
      BooleanExpression second = requireBoolean(rightStart, conjunction(), "or");
      Predicate<Facts> a = first.value();
      Predicate<Facts> b = second.value();
      left =
          new BooleanExpression(
              facts -> a.test(facts) || b.test(facts), first.constant() && second.constant());
    }
    return left;
  }

  private Expression conjunction() throws PolicySyntaxException {
    Token start = tokens.peek();
    Map<String, String> requiredTexts = new HashMap<>();
    Expression left = comparison(requiredTexts);
    while (tokens.peek().is("and")) {
      tokens.next();
      Token rightStart = tokens.peek();
      BooleanExpression first = requireBoolean(start, left, "and");
      BooleanExpression second = requireBoolean(rightStart, comparison(requiredTexts), "and");
      Predicate<Facts> a = first.value();
      Predicate<Facts> b = second.value();
      left =
          new BooleanExpression(
              facts -> a.test(facts) && b.test(facts), first.constant() && second.constant());
    }
    return left;
  }

  /**
   * Parses one comparison, or a value without a comparison operator.
   *
   * @param requiredTexts the text that each name must equal within the conjunction; it is used to
   *     find contradictions
   */
  private Expression comparison(Map<String, String> requiredTexts) throws PolicySyntaxException {
    Token start = tokens.peek();
    if (start.is("not")) {
      return negation();
    }
    Expression left = sum();
    Token operator = tokens.peek();
    if (!operator.isComparison()) {
      return left;
    }
    tokens.next();
    Token rightStart = tokens.peek();
    Expression right = sum();
    if (left.type() != right.type()) {
      throw new PolicySyntaxException(
          operator,
          "'"
              + operator.text()
              + "' compares "
              + left.type().description()
              + " with "
              + right.type().description());
    }
    if (left instanceof NumberExpression a && right instanceof NumberExpression b) {
      return numericComparison(operator, a, b);
    }
    if (!operator.is("==") && !operator.is("!=")) {
      throw new PolicySyntaxException(
          operator, "'" + operator.text() + "' can't compare " + left.type().description());
    }
    if (operator.is("==") && start.kind() == Kind.NAME && rightStart.kind() == Kind.TEXT) {
      warnOfContradiction(requiredTexts, operator, start.text(), rightStart.text());
    }
    return equality(left, right, operator.is("=="));
  }

  private void warnOfContradiction(
      Map<String, String> requiredTexts, Token operator, String name, String text) {
    String before = requiredTexts.put(name, text);
    if (before != null && !before.equals(text)) {
      diagnostics.add(
          operator.warning("this can never hold: " + name + " is also to be \"" + before + "\""));
    }
  }

  private Expression negation() throws PolicySyntaxException {
    tokens.next();
    Token start = tokens.peek();
    enter(start);
    BooleanExpression negated = requireBoolean(start, comparison(new HashMap<>()), "not");
    depth--;
    Predicate<Facts> condition = negated.value();
    return new BooleanExpression(facts -> !condition.test(facts), negated.constant());
  }

  /**
   * Returns the comparison of two conditions or two texts of one type: for equality if {@code
   * equal} is true, otherwise for inequality.
   */
  private static Expression equality(Expression left, Expression right, boolean equal) {
    boolean constant = left.constant() && right.constant();
    if (left instanceof BooleanExpression first && right instanceof BooleanExpression second) {
      Predicate<Facts> a = first.value();
      Predicate<Facts> b = second.value();
      return new BooleanExpression(facts -> (a.test(facts) == b.test(facts)) == equal, constant);
    }
    TextFunction a = ((TextExpression) left).value();
    TextFunction b = ((TextExpression) right).value();
    return new BooleanExpression(
        facts -> Objects.equals(a.apply(facts), b.apply(facts)) == equal, constant);
  }

  private static Expression numericComparison(
      Token operator, NumberExpression left, NumberExpression right) {
    ToDoubleFunction<Facts> a = left.value();
    ToDoubleFunction<Facts> b = right.value();
    Predicate<Facts> holds =
        switch (operator.text()) {
          case "<" -> facts -> a.applyAsDouble(facts) < b.applyAsDouble(facts);
          case "<=" -> facts -> a.applyAsDouble(facts) <= b.applyAsDouble(facts);
          case ">" -> facts -> a.applyAsDouble(facts) > b.applyAsDouble(facts);
          case ">=" -> facts -> a.applyAsDouble(facts) >= b.applyAsDouble(facts);
          case "==" -> facts -> a.applyAsDouble(facts) == b.applyAsDouble(facts);
          default -> facts -> a.applyAsDouble(facts) != b.applyAsDouble(facts);
        };
    return new BooleanExpression(holds, left.constant() && right.constant());
  }

  private Expression sum() throws PolicySyntaxException {
    Expression left = product();
    while (tokens.peek().is("+") || tokens.peek().is("-")) {
      Token operator = tokens.next();
      Expression right = product();
      if (left instanceof NumberExpression a
          && right instanceof NumberExpression b
          && a.type() == b.type()
          && a.type().isArithmetic()) {
        left = combine(a.type(), a, b, operator.is("+") ? (x, y) -> x + y : (x, y) -> x - y);
      } else {
        throw incompatibleOperands(operator, left, right);
      }
    }
    return left;
  }

  private static PolicySyntaxException incompatibleOperands(
      Token operator, Expression left, Expression right) {
    return new PolicySyntaxException(
        operator,
        "'"
            + operator.text()
            + "' can't join "
            + left.type().description()
            + " and "
            + right.type().description());
  }

  private static NumberExpression combine(
      ValueType type,
      NumberExpression left,
      NumberExpression right,
      DoubleBinaryOperator operator) {
    ToDoubleFunction<Facts> a = left.value();
    ToDoubleFunction<Facts> b = right.value();
    return new NumberExpression(
        type,
        facts -> operator.applyAsDouble(a.applyAsDouble(facts), b.applyAsDouble(facts)),
        left.constant() && right.constant());
  }

  private Expression product() throws PolicySyntaxException {
    Expression left = factor();
    while (tokens.peek().is("*") || tokens.peek().is("/")) {
      Token operator = tokens.next();
      Expression right = factor();
      if (left instanceof NumberExpression a
          && right instanceof NumberExpression b
          && a.type().isArithmetic()
          && b.type().isArithmetic()) {
        ValueType type = productType(operator, a, b);
        left = combine(type, a, b, operator.is("*") ? (x, y) -> x * y : (x, y) -> x / y);
      } else {
        throw incompatibleOperands(operator, left, right);
      }
    }
    return left;
  }

  /**
   * Returns the type of a product or a quotient. A value keeps its unit when it is multiplied or
   * divided by a plain number. The quotient of two values of one unit is a plain number.
   */
  private static ValueType productType(
      Token operator, NumberExpression left, NumberExpression right) throws PolicySyntaxException {
    if (right.type() == ValueType.NUMBER) {
      return left.type();
    }
    if (operator.is("*") && left.type() == ValueType.NUMBER) {
      return right.type();
    }
    if (operator.is("/") && left.type() == right.type()) {
      return ValueType.NUMBER;
    }
    throw incompatibleOperands(operator, left, right);
  }

  private Expression factor() throws PolicySyntaxException {
    Token token = tokens.next();
    if (token.is("(")) {
      Expression inner = nested();
      tokens.expect(")");
      return inner;
    }
    if (token.is("-")) {
      return minus(token);
    }
    return switch (token.kind()) {
      case TEXT -> Expression.literal(token.text());
      case NUMBER -> literal(token);
      case NAME -> name(token);
      case SIGN, END ->
          throw new PolicySyntaxException(token, "expected a value but found " + token);
    };
  }

  private Expression minus(Token sign) throws PolicySyntaxException {
    enter(sign);
    Expression operand = factor();
    depth--;
    if (operand instanceof NumberExpression number && number.type().isArithmetic()) {
      ToDoubleFunction<Facts> value = number.value();
      return new NumberExpression(
          number.type(), facts -> -value.applyAsDouble(facts), number.constant());
    }
    throw new PolicySyntaxException(
        sign, "'-' needs a number but this is " + operand.type().description());
  }

  private Expression literal(Token token) throws PolicySyntaxException {
    double value = token.value();
    return switch (token.unit()) {
      case "" -> Expression.literal(ValueType.NUMBER, value);
      case "s" -> Expression.literal(ValueType.SECONDS, value);
      case "ms" -> Expression.literal(ValueType.SECONDS, value / 1000);
      case "min" -> Expression.literal(ValueType.SECONDS, value * 60);
      case "GB" -> Expression.literal(ValueType.GIGABYTES, value);
      case "cpus" -> Expression.literal(ValueType.CPUS, value);
      default ->
          throw new PolicySyntaxException(
              token, "unknown unit '" + token.unit() + "': expected ms, s, min, GB or cpus");
    };
  }

  private Expression name(Token name) throws PolicySyntaxException {
    return switch (name.text()) {
      case "if" -> conditional(name);
      case "min" -> extremum(name, Math::min);
      case "max" -> extremum(name, Math::max);
      default ->
          Variables.lookup(name.text())
              .orElseThrow(
                  () -> new PolicySyntaxException(name, "unknown name '" + name.text() + "'"));
    };
  }

  private Expression conditional(Token name) throws PolicySyntaxException {
    tokens.expect("(");
    Token start = tokens.peek();
    BooleanExpression condition = requireBoolean(start, nested(), "the condition of if");
    tokens.expect(",");
    NumberPair branches = numberPair(name);
    Predicate<Facts> test = condition.value();
    ToDoubleFunction<Facts> a = branches.first.value();
    ToDoubleFunction<Facts> b = branches.second.value();
    return new NumberExpression(
        branches.first.type(),
        facts -> test.test(facts) ? a.applyAsDouble(facts) : b.applyAsDouble(facts),
        condition.constant() && branches.first.constant() && branches.second.constant());
  }

  private Expression extremum(Token name, DoubleBinaryOperator operator)
      throws PolicySyntaxException {
    tokens.expect("(");
    NumberPair operands = numberPair(name);
    return combine(operands.first.type(), operands.first, operands.second, operator);
  }

  /** The last two arguments of a function. Both are numbers of one type. */
  private record NumberPair(NumberExpression first, NumberExpression second) {}

  private NumberPair numberPair(Token function) throws PolicySyntaxException {
    Expression first = nested();
    tokens.expect(",");
    Token secondStart = tokens.peek();
    Expression second = nested();
    tokens.expect(")");
    if (first instanceof NumberExpression a
        && second instanceof NumberExpression b
        && a.type() == b.type()) {
      return new NumberPair(a, b);
    }
    throw new PolicySyntaxException(
        secondStart,
        function.text()
            + " needs two numbers of one kind, not "
            + first.type().description()
            + " and "
            + second.type().description());
  }
}
