// Package event defines the numbered events that the programs log. They are
// documented in docs/events.md.
package event
