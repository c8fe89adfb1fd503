// Package message defines the messages that nodes exchange and their CBOR
// codec.
//
// Message structs export their fields because the codec fills them by
// reflection. Messages carry durations instead of points in time, so that the
// clocks of two instances are never compared.
package message
