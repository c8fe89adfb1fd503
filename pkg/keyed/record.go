// Package keyed defines the records of compacted topics, which retain the
// newest value of each key.
package keyed

// Record is the newest value of a key. A record without a value deletes the
// key.
type Record struct {
	Key   string
	Value []byte
}
