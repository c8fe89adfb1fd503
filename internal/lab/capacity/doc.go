// Package capacity measures how the messages, memory and processor time of a
// node grow with the size of the system, and fits a line to each quantity by
// least squares. docs/CAPACITY.md is derived from these lines.
package capacity
