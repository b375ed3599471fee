/**
 * The policy language of docs/policies.md: lexer, parser, type checker and the compiled policies.
 *
 * <p>{@link mallowstall.policy.Policies} is the only entry point. {@code Lexer} splits a text into
 * tokens. {@code PolicyParser} parses classes and blocks, and {@code ExpressionParser} compiles
 * expressions to closures over {@link mallowstall.core.placement.Policy.Facts}. Each error or
 * warning is recorded as a {@link mallowstall.policy.PolicyDiagnostic}, so that one run of the
 * checker reports all errors of a file. Compiled policies are immutable and can be used by any
 * thread.
 */
package mallowstall.policy;
