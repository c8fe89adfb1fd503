// Package history remembers the latest values of a stream in bounded memory.
package history
