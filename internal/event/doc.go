// Package event defines the numbered events that the programs log. docs/events.md
// is their catalogue.
package event
