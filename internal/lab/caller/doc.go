// Package caller makes HTTP calls that can be canceled by their context and
// are never retried automatically.
package caller
