// Package timeline provides a discrete-event scheduler with virtual time.
package timeline
