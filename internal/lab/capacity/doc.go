// Package capacity measures how messages, memory and processor time of a node
// grow with the size of the system, and fits a straight line to each.
// docs/CAPACITY.md is worked out from these lines.
package capacity
