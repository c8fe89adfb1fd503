// Package memory bounds the sum of the bytes that a process holds of what others
// have sent to it.
package memory
