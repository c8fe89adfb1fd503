// Package lease keeps an owner's right to run non-repeatable calls.
//
// The right belongs to one epoch of the owner table. It is renewed by reads of
// the log that show the epoch as the newest, or by promises of all other
// owners not to change the table. Either way it counts from the moment before
// the proof was asked for, never from its arrival.
package lease
