/**
 * The settings file: its fields, its reader and its checks. Each error names the field and what was
 * expected.
 */
package mallowstall.config;
