// Package timeline lets virtual time pass from one event to the next.
package timeline
