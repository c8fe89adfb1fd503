// Package message defines what nodes send to each other, and its codec.
//
// Message structs export their fields because the CBOR codec fills them by
// reflection. Durations stand in place of points in time, so that the clocks
// of two instances are never compared.
package message
