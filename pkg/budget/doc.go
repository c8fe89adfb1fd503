// Package budget splits the retries of one request over its call tree.
package budget
