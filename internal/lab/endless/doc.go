// Package endless plays faulty processes, which send bytes without end on a
// connection until the other end closes it.
package endless
