// Package budget divides the retries of one request over its call tree.
package budget
