// Package caller makes HTTP calls that end with their context and are never
// sent twice.
package caller
