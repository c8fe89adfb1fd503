// Package frame defines what nodes send to each other over their TCP
// connections, and how a message and its body are laid out there.
//
// A frame is the length of the rest (4 bytes, big-endian), the kind (1 byte),
// the length of the message (4 bytes), the message in CBOR and the body as raw
// bytes. Fields of messages are exported for the codec.
package frame
