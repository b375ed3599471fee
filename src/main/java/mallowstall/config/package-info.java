/**
 * The settings file: its fields, reader and checks. Errors name the field and what was expected.
 */
package mallowstall.config;
