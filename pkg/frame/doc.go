// Package frame defines the frames that nodes exchange over TCP connections.
//
// A frame consists of the length of the remainder (4 bytes, big-endian), the
// kind (1 byte), the length of the message (4 bytes, big-endian), the message
// in CBOR and the body as raw bytes. The fields of messages are exported for
// the codec.
package frame
