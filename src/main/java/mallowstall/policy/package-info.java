/**
 * The policy language of docs/policies.md: lexer, parser, type checker and the compiled policies.
 *
 * <p>{@link mallowstall.policy.Policies} is the only entry point. A text is split by {@code Lexer}
 * into tokens, read by {@code PolicyParser} (classes and blocks) and {@code ExpressionParser}
 * (expressions), and compiled to closures over {@link mallowstall.core.Policy.Facts}. Everything
 * found on the way is kept as a {@link mallowstall.policy.PolicyDiagnostic}, so that one run of the
 * checker reports all errors of a file. Compiled policies are immutable and can be used by any
 * thread.
 */
package mallowstall.policy;
