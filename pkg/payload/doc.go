// Package payload holds the content of messages, and reads it within a claim on
// memory.
package payload
